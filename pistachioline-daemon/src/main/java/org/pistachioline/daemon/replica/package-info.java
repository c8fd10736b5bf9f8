/**
 * Runs the replica planner, and passes the targets that it derives from the instance list
 * to the traffic duty.
 */
package org.pistachioline.daemon.replica;
