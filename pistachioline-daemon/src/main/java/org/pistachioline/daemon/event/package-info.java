/**
 * Logging of numbered events, as text or as JSON lines.
 */
package org.pistachioline.daemon.event;
