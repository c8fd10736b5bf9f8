/**
 * Keeps instances in groups and tells the traffic duty which targets there are.
 */
package org.pistachioline.daemon.replica;
