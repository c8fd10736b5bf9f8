/**
 * Writing of numbered events.
 */
package org.pistachioline.daemon.event;
