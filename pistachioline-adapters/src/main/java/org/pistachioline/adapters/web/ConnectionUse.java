package org.pistachioline.adapters.web;

/**
 * How a connection was used before its present request.
 *
 * @param number identifies the connection in this process; 0 if there is none
 * @param earlierRequests how many requests it had carried
 * @param idleMillis how long it had been idle, in milliseconds; 0 for a new one
 */
public record ConnectionUse(long number, int earlierRequests, long idleMillis) {

	/** The use of a connection that was never assigned. */
	public static final ConnectionUse NONE = new ConnectionUse(0, 0, 0);

}
