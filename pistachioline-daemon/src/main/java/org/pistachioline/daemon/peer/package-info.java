/**
 * Connects the daemons of a fleet over Netty: gossips heartbeats, transfers checkpoints
 * and carries the frames of other components.
 */
package org.pistachioline.daemon.peer;
