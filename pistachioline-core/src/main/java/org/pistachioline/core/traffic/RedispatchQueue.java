package org.pistachioline.core.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The requests that were admitted, left the queue once and wait for a target again.
 * <p>
 * They are resumed streams, suspects and holders of a claim. Sent back through the queue,
 * a stream whose group died would be refused by its workspace's bound in just the moment
 * when all of the group's streams come back, and a claimed key would be given up for want
 * of room. They go before the queue; there are never more than were started, and each
 * leaves by its deadline.
 */
final class RedispatchQueue {

	private final Deque<ActiveRequest> waiting = new ArrayDeque<>();

	void add(ActiveRequest flight) {
		flight.awaitingRedispatch = true;
		this.waiting.addLast(flight);
	}

	void remove(ActiveRequest flight) {
		if (flight.awaitingRedispatch) {
			flight.awaitingRedispatch = false;
			this.waiting.remove(flight);
		}
	}

	int size() {
		return this.waiting.size();
	}

	void poll(long nowNanos, Predicate<ActiveRequest> placeable, Consumer<ActiveRequest> starter) {
		if (this.waiting.isEmpty()) {
			return;
		}
		for (final ActiveRequest flight : List.copyOf(this.waiting)) {
			if (flight.awaitingRedispatch && nowNanos - flight.earliestStartNanos >= 0 && placeable.test(flight)) {
				remove(flight);
				starter.accept(flight);
			}
		}
	}

}
