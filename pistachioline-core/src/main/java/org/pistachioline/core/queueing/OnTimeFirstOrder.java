package org.pistachioline.core.queueing;

import java.util.NavigableSet;

/**
 * Dispatches requests that can still be served on time before those that cannot.
 * <p>
 * After the loss of half of the groups, more requests arrive than are served for some
 * seconds. In the order of deadlines, those that have waited longest go next, so that all
 * requests are served and all are late. To its caller, a late answer is worth a fraction
 * of one on time, whereas a request that is late already loses little by waiting longer.
 */
public final class OnTimeFirstOrder implements QueueOrder {

	/**
	 * The bound on requests that are examined where hundreds are late; beyond it the
	 * deadline decides.
	 */
	private static final int MAX_SCANNED = 128;

	@Override
	public QueuedRequest next(long nowNanos, long firstTokenNanos, NavigableSet<QueuedRequest> queue) {
		int scanned = 0;
		for (final QueuedRequest request : queue) {
			if (nowNanos + firstTokenNanos <= request.info().softDeadlineNanos()) {
				return request;
			}
			scanned++;
			if (scanned >= MAX_SCANNED) {
				break;
			}
		}
		return queue.first();
	}

}
