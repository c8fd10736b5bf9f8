package org.pistachioline.core.queueing;

import java.util.Comparator;

import org.pistachioline.core.traffic.RequestInfo;

/**
 * A request in the queue.
 *
 * @param info the request
 * @param sequence the arrival number, which differs for all requests
 * @param queuedAtNanos the monotonic time of its arrival
 * @param cost the estimated cost, in output tokens
 */
public record QueuedRequest(RequestInfo info, long sequence, long queuedAtNanos, double cost) {

	/** The order of requests within a workspace: by priority, then by deadline. */
	static final Comparator<QueuedRequest> BY_URGENCY = Comparator
		.comparingInt((QueuedRequest request) -> -request.info.priority())
		.thenComparingLong((request) -> request.info.firstTokenDeadlineNanos())
		.thenComparingLong(QueuedRequest::sequence);

	/** The order in which requests miss their deadlines. */
	static final Comparator<QueuedRequest> BY_DEADLINE = Comparator
		.comparingLong((QueuedRequest request) -> request.info.firstTokenDeadlineNanos())
		.thenComparingLong(QueuedRequest::sequence);

}
