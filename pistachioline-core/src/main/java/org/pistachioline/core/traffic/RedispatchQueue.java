package org.pistachioline.core.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Holds requests that already left the admission queue and wait for a target again:
 * streams to be resumed, suspects, and requests that hold a claim.
 * <p>
 * They don't go through the admission queue a second time. When a group crashes, all of
 * its streams return at once, and the workspace's queue bound would refuse some of them;
 * a request with a granted claim would be failed for lack of queue space. This queue is
 * served before the admission queue. It holds no more requests than were dispatched
 * before, and each of them leaves by its deadline.
 */
final class RedispatchQueue {

	private final Deque<ActiveRequest> waiting = new ArrayDeque<>();

	void add(ActiveRequest request) {
		request.awaitingRedispatch = true;
		this.waiting.addLast(request);
	}

	void remove(ActiveRequest request) {
		if (request.awaitingRedispatch) {
			request.awaitingRedispatch = false;
			this.waiting.remove(request);
		}
	}

	int size() {
		return this.waiting.size();
	}

	void poll(long nowNanos, Predicate<ActiveRequest> placeable, Consumer<ActiveRequest> starter) {
		if (this.waiting.isEmpty()) {
			return;
		}
		for (final ActiveRequest request : List.copyOf(this.waiting)) {
			if (request.awaitingRedispatch && nowNanos - request.earliestStartNanos >= 0 && placeable.test(request)) {
				remove(request);
				starter.accept(request);
			}
		}
	}

}
