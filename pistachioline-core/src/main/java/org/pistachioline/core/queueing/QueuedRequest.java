package org.pistachioline.core.queueing;

import java.util.Comparator;

import org.pistachioline.core.traffic.RequestInfo;

/**
 * One request in the queue.
 *
 * @param info the request
 * @param sequence rises with each request, so that no two are equal
 * @param queuedAtNanos when it came, by the monotonic clock
 * @param cost its estimated cost, in output tokens
 */
public record QueuedRequest(RequestInfo info, long sequence, long queuedAtNanos, double cost) {

	/** Who goes first within a workspace. */
	static final Comparator<QueuedRequest> BY_URGENCY = Comparator
		.comparingInt((QueuedRequest waiting) -> -waiting.info.priority())
		.thenComparingLong((waiting) -> waiting.info.firstTokenDeadlineNanos())
		.thenComparingLong(QueuedRequest::sequence);

	/** Who is late first. */
	static final Comparator<QueuedRequest> BY_DEADLINE = Comparator
		.comparingLong((QueuedRequest waiting) -> waiting.info.firstTokenDeadlineNanos())
		.thenComparingLong(QueuedRequest::sequence);

}
