package org.pistachioline.core.queueing;

import java.util.NavigableSet;

/**
 * Which request of a workspace goes next.
 */
public interface QueueOrder {

	/**
	 * Chooses a request.
	 * @param nowNanos the monotonic time
	 * @param firstTokenNanos how long a request waits at its target for its first token,
	 * on average
	 * @param queue the requests that wait, by priority and then by deadline; at least one
	 * @return one of them
	 */
	QueuedRequest next(long nowNanos, long firstTokenNanos, NavigableSet<QueuedRequest> queue);

}
