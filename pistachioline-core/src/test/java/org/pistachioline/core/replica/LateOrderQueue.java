package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.LongSupplier;

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

	void hasten(String instanceId, LongSupplier atMillis) {
		final List<LateOrder> hastened = this.orders.stream()
			.filter((late) -> late.order().instance().id().equals(instanceId))
			.sorted(Comparator.comparingLong(LateOrder::fencingToken))
			.toList();
		this.orders.removeAll(hastened);
		hastened
			.forEach((late) -> add(Math.min(late.atMillis(), atMillis.getAsLong()), late.order(), late.fencingToken()));
	}

	record LateOrder(long atMillis, ReplicaOrder order, long fencingToken) {

	}

}
