/**
 * Relays callers' requests to the targets of their routes, and the targets' responses to
 * the callers.
 */
package org.pistachioline.daemon.relay;
