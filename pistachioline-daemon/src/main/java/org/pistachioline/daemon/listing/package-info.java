/**
 * The duty that keeps the platform's instance list current, and its messages to other
 * daemons.
 */
package org.pistachioline.daemon.listing;
