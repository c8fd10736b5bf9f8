/**
 * Assigns instances to groups that serve a model together, from what the instances
 * report, and derives the request targets.
 */
package org.pistachioline.core.replica;
