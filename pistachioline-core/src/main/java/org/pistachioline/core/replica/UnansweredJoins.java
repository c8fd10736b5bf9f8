package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers unanswered join orders by address, in case the instance at that address
 * restarts.
 * <p>
 * An instance may execute such an order seconds later. If it has restarted at the same
 * address by then, the new process may execute the order, and cannot reject it because it
 * has seen no epoch yet. If it were assigned to another group at that time, it would be
 * taken from the group of the late order, which may be serving. A restarted instance is
 * therefore not assigned until the order can no longer arrive. The orders of another
 * planner are not known, so after a change of the planner this applies to every restarted
 * instance.
 */
final class UnansweredJoins {

	/** Longer than the longest observed delay of an order. */
	private static final long MAX_ORDER_DELAY_NANOS = 12_500_000_000L;

	private final boolean holdsSameInstance;

	private final OrderFencing fencing;

	private final Map<String, List<UnansweredJoin>> byAddress = new HashMap<>();

	/** When the joins were sent whose answer is due, by address. */
	private final Map<String, List<Long>> sentAtNanosByAddress = new HashMap<>();

	private long tookOverAtNanos;

	private boolean tookOver;

	/**
	 * Creates a memory of unanswered orders.
	 * @param holdsSameInstance whether the instance that left an order unanswered, and
	 * the members of a group whose head did, are not assigned either until the order can
	 * no longer arrive, as is necessary where survivors are assigned as soon as they are
	 * free: the head may return to the ended group and serve
	 * @param fencing whether instances reject orders that newer ones have overtaken; if
	 * they do not, the orders of another planner may reach every instance, and the same
	 * instance is always held
	 */
	UnansweredJoins(boolean holdsSameInstance, OrderFencing fencing) {
		this.holdsSameInstance = holdsSameInstance || fencing == OrderFencing.IGNORED;
		this.fencing = fencing;
	}

	void takeOver(long nowNanos) {
		this.tookOverAtNanos = nowNanos;
		this.tookOver = true;
	}

	void onSent(long nowNanos, ReplicaOrder.Join join) {
		this.sentAtNanosByAddress.computeIfAbsent(join.instance().address(), (address) -> new ArrayList<>())
			.add(nowNanos);
	}

	void onAnswer(ReplicaOrder.Join join) {
		final List<Long> sentAtNanos = this.sentAtNanosByAddress.getOrDefault(join.instance().address(), List.of());
		if (!sentAtNanos.isEmpty()) {
			sentAtNanos.remove(0);
		}
	}

	void add(long nowNanos, ReplicaOrder.Join join) {
		final String recipientId = join.instance().id();
		final boolean toHead = join.memberIds().get(0).equals(recipientId);
		final List<UnansweredJoin> joins = this.byAddress.computeIfAbsent(join.instance().address(),
				(address) -> new ArrayList<>());
		joins.removeIf((earlier) -> earlier.group().equals(join.group()) && earlier.instanceId().equals(recipientId));
		joins.add(new UnansweredJoin(recipientId, join.group(), toHead ? join.memberIds() : List.of(), nowNanos));
	}

	void removeExpired(long nowNanos) {
		this.byAddress.values()
			.forEach((joins) -> joins.removeIf((join) -> nowNanos - join.unansweredAtNanos() >= MAX_ORDER_DELAY_NANOS));
		this.byAddress.values().removeIf(List::isEmpty);
		this.sentAtNanosByAddress.values()
			.forEach((sent) -> sent.removeIf((sentAtNanos) -> nowNanos - sentAtNanos >= MAX_ORDER_DELAY_NANOS));
		this.sentAtNanosByAddress.values().removeIf(List::isEmpty);
	}

	/**
	 * Returns whether an order to an earlier process at the same address, or one that the
	 * instance cannot reject, may still reach the instance.
	 * @param nowNanos the monotonic time
	 * @param instance the instance
	 * @param delisted the instances that were recently delisted
	 * @return whether an order may still arrive
	 */
	boolean mayReach(long nowNanos, ServingInstance instance, Collection<ServingInstance> delisted) {
		if (this.byAddress.getOrDefault(instance.address(), List.of())
			.stream()
			.anyMatch((join) -> this.holdsSameInstance || !join.instanceId().equals(instance.id()))) {
			return true;
		}
		if (this.holdsSameInstance && this.byAddress.values()
			.stream()
			.flatMap(List::stream)
			.anyMatch((join) -> join.memberIds().contains(instance.id()))) {
			return true;
		}
		return mayOrdersOfPreviousPlannerArrive(nowNanos)
				&& (this.fencing == OrderFencing.IGNORED || isRestarted(instance, delisted));
	}

	private static boolean isRestarted(ServingInstance instance, Collection<ServingInstance> delisted) {
		return delisted.stream()
			.anyMatch((former) -> former.address().equals(instance.address()) && !former.id().equals(instance.id()));
	}

	private boolean mayOrdersOfPreviousPlannerArrive(long nowNanos) {
		return this.tookOver && nowNanos - this.tookOverAtNanos < MAX_ORDER_DELAY_NANOS;
	}

	/**
	 * Returns whether an instance that leaves its group now may execute an earlier join
	 * order and return to the group. Where fencing tokens are enforced, the order to
	 * leave voids all earlier ones.
	 * @param nowNanos the monotonic time
	 * @param instance the instance
	 * @return whether it may return
	 */
	boolean mayUndoLeave(long nowNanos, ServingInstance instance) {
		return this.fencing == OrderFencing.IGNORED
				&& (mayOrdersOfPreviousPlannerArrive(nowNanos) || this.byAddress.containsKey(instance.address())
						|| !this.sentAtNanosByAddress.getOrDefault(instance.address(), List.of()).isEmpty());
	}

	/**
	 * An unanswered join order.
	 *
	 * @param instanceId the recipient
	 * @param group the group
	 * @param memberIds the members of the group if the recipient is its head; otherwise
	 * empty
	 * @param unansweredAtNanos the monotonic time at which the order was found unanswered
	 */
	private record UnansweredJoin(String instanceId, GroupId group, List<String> memberIds, long unansweredAtNanos) {

	}

}
