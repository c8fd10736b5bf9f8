package org.pistachioline.core.queueing;

import java.util.NavigableSet;

/**
 * The most urgent goes next, and among equals the one whose deadline is nearest.
 */
public final class DeadlineOrder implements WaitingOrder {

	@Override
	public Waiting next(long nowNanos, long firstTokenNanos, NavigableSet<Waiting> queue) {
		return queue.first();
	}

}
