package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The unanswered orders of a {@link ReplicaSimulation} that instances execute seconds
 * later.
 */
final class LateOrderQueue {

	private final PriorityQueue<LateOrder> orders = new PriorityQueue<>(Comparator.comparingLong(LateOrder::atMillis));

	void add(long atMillis, ReplicaOrder order, long fencingToken) {
		this.orders.add(new LateOrder(atMillis, order, fencingToken));
	}

	List<LateOrder> takeDue(long nowMillis) {
		final List<LateOrder> due = new ArrayList<>();
		while (!this.orders.isEmpty() && this.orders.peek().atMillis() <= nowMillis) {
			due.add(this.orders.poll());
		}
		return due;
	}

	record LateOrder(long atMillis, ReplicaOrder order, long fencingToken) {

	}

}
