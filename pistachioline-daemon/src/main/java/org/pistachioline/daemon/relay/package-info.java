/**
 * Relays callers' requests to the targets of their routes and the answers back.
 */
package org.pistachioline.daemon.relay;
