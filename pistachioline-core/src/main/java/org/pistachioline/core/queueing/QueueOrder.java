package org.pistachioline.core.queueing;

import java.util.NavigableSet;

/**
 * The order in which the requests of a workspace are dispatched.
 */
public interface QueueOrder {

	/**
	 * Chooses the next request.
	 * @param nowNanos the monotonic time
	 * @param firstTokenNanos the mean time from dispatch to the first token
	 * @param queue the queued requests, by priority and then by deadline; never empty
	 * @return one of them
	 */
	QueuedRequest next(long nowNanos, long firstTokenNanos, NavigableSet<QueuedRequest> queue);

}
