package org.pistachioline.core.queueing;

import java.util.NavigableSet;

/**
 * Who can still be served on time goes before those who cannot.
 * <p>
 * Made for the seconds after half of the groups were lost, in which more comes than is
 * served. By deadline alone those who have waited longest go next, so that everybody is
 * served, and everybody late. An answer that comes late is worth a fraction of one on
 * time to its caller, while those who are late already lose little by waiting on.
 */
public final class OnTimeFirstOrder implements QueueOrder {

	/** Bounds the search where hundreds are late; they go by deadline then. */
	private static final int MAX_SCANNED = 128;

	@Override
	public QueuedRequest next(long nowNanos, long firstTokenNanos, NavigableSet<QueuedRequest> queue) {
		int looked = 0;
		for (final QueuedRequest waiting : queue) {
			if (nowNanos + firstTokenNanos <= waiting.info().softDeadlineNanos()) {
				return waiting;
			}
			looked++;
			if (looked >= MAX_SCANNED) {
				break;
			}
		}
		return queue.first();
	}

}
