/**
 * The daemon: its parts, in the order in which they start and stop.
 */
package org.pistachioline.daemon;
