/**
 * Heartbeats between daemons over Netty.
 */
package org.pistachioline.daemon.peer;
