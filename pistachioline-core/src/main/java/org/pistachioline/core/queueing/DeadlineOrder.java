package org.pistachioline.core.queueing;

import java.util.NavigableSet;

/**
 * The most urgent goes next, and among equals the one whose deadline is nearest.
 */
public final class DeadlineOrder implements QueueOrder {

	@Override
	public QueuedRequest next(long nowNanos, long firstTokenNanos, NavigableSet<QueuedRequest> queue) {
		return queue.first();
	}

}
