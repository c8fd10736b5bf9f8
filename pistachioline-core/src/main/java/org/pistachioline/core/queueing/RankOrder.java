package org.pistachioline.core.queueing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.pistachioline.core.traffic.RequestInfo;

/**
 * Orders requests across workspaces: those on time go first and, among these, the more
 * urgent ones.
 * <p>
 * Many daemons share the targets, so that a late request at one of them would take the
 * place of a request on time at another. Unless there is room for late requests, it is
 * therefore refused while its caller still has time to come back.
 */
final class RankOrder {

	/**
	 * The part of its deadline that a request may wait; the rest is left to the caller
	 * for a retry.
	 */
	static final double MAX_WAIT_RATIO = 0.5;

	private final QueueOrder order;

	private final Predicate<RequestInfo> hasRoomForLate;

	RankOrder(QueueOrder order, Predicate<RequestInfo> hasRoomForLate) {
		this.order = order;
		this.hasRoomForLate = hasRoomForLate;
	}

	/**
	 * Sorts workspaces by their next request. Those of equal rank keep their order.
	 * @param nowNanos the monotonic time
	 * @param firstTokenNanos the time from the start of a request to its first token
	 * @param flows the workspaces with queued requests
	 * @return the workspaces in order
	 */
	List<Flow> sort(long nowNanos, long firstTokenNanos, Collection<Flow> flows) {
		final Map<Flow, QueuedRequest> next = new HashMap<>();
		flows.forEach((flow) -> next.put(flow, this.order.next(nowNanos, firstTokenNanos, flow.queue)));
		final List<Flow> ordered = new ArrayList<>(flows);
		ordered.sort(Comparator.comparing((Flow flow) -> isLate(nowNanos, firstTokenNanos, next.get(flow)))
			.thenComparing((flow) -> -next.get(flow).info().priority()));
		return ordered;
	}

	/**
	 * Finds the requests that can no longer be served in time.
	 * @param nowNanos the monotonic time
	 * @param firstTokenNanos the time from the start of a request to its first token
	 * @param queue the queued requests
	 * @return the requests that are late without room for them, or have waited for long
	 */
	List<QueuedRequest> expired(long nowNanos, long firstTokenNanos, Collection<QueuedRequest> queue) {
		final List<QueuedRequest> expired = new ArrayList<>();
		for (final QueuedRequest request : queue) {
			final long budgetNanos = request.info().firstTokenDeadlineNanos() - request.queuedAtNanos();
			final boolean longWait = nowNanos - request.queuedAtNanos() >= MAX_WAIT_RATIO * budgetNanos;
			if (longWait || (isLate(nowNanos, firstTokenNanos, request) && !this.hasRoomForLate.test(request.info()))) {
				expired.add(request);
			}
		}
		return expired;
	}

	private static boolean isLate(long nowNanos, long firstTokenNanos, QueuedRequest request) {
		return nowNanos + firstTokenNanos > request.info().softDeadlineNanos();
	}

}
