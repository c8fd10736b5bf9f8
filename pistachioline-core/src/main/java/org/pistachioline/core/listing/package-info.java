/**
 * Replicates the platform's instance list to all daemons: a few daemons read it, and the
 * others long-poll them along a distribution tree.
 */
package org.pistachioline.core.listing;
