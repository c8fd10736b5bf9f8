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
public record Waiting(RequestInfo info, long sequence, long queuedAtNanos, double cost) {

	/** Who goes first within a workspace. */
	static final Comparator<Waiting> BY_URGENCY = Comparator.comparingInt((Waiting waiting) -> -waiting.info.priority())
		.thenComparingLong((waiting) -> waiting.info.firstTokenDeadlineNanos())
		.thenComparingLong(Waiting::sequence);

	/** Who is late first. */
	static final Comparator<Waiting> BY_DEADLINE = Comparator
		.comparingLong((Waiting waiting) -> waiting.info.firstTokenDeadlineNanos())
		.thenComparingLong(Waiting::sequence);

}
