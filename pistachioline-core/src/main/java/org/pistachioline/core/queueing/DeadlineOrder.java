package org.pistachioline.core.queueing;

import java.util.NavigableSet;

/**
 * Dispatches the request with the highest priority and, among equal priorities, the one
 * with the earliest deadline.
 */
public final class DeadlineOrder implements QueueOrder {

	@Override
	public QueuedRequest next(long nowNanos, long firstTokenNanos, NavigableSet<QueuedRequest> queue) {
		return queue.first();
	}

}
