package org.pistachioline.core.queueing;

import java.util.NavigableSet;

/**
 * Which request of a workspace goes next.
 */
public interface WaitingOrder {

	/**
	 * Chooses a request.
	 * @param nowNanos the monotonic time
	 * @param firstTokenNanos how long a request waits at its target for its first token,
	 * on average
	 * @param queue the requests that wait, by priority and then by deadline; at least one
	 * @return one of them
	 */
	Waiting next(long nowNanos, long firstTokenNanos, NavigableSet<Waiting> queue);

}
