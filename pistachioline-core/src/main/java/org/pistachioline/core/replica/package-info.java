/**
 * Groups of instances that serve a model together: what they report, and which orders
 * they need next.
 */
package org.pistachioline.core.replica;
