package org.pistachioline.core.replica;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Remembers orders to join that were left unanswered, for the next life of their
 * instance.
 * <p>
 * An instance may carry out such an order seconds later. If it has started again at its
 * address meanwhile, the new life may be the one that does, and it does not refuse it: it
 * has seen no epoch yet. Ordered into another group just then, it is taken from the first
 * one, which may serve. So a later life is left alone until the order cannot come any
 * more. What another planner ordered is not known, so after a change of the planner that
 * goes for every later life.
 */
final class UnansweredJoins {

	/** Longer than an order was ever carried out late. */
	private static final long MAX_ORDER_DELAY_NANOS = 12_500_000_000L;

	private final Map<String, UnansweredJoin> byAddress = new HashMap<>();

	private long takenOverAtNanos;

	private boolean tookOver;

	void takeOver(long nowNanos) {
		this.takenOverAtNanos = nowNanos;
		this.tookOver = true;
	}

	void add(long nowNanos, ServingInstance instance) {
		this.byAddress.put(instance.address(), new UnansweredJoin(instance.id(), nowNanos));
	}

	void removeExpired(long nowNanos) {
		this.byAddress.values().removeIf((join) -> nowNanos - join.unansweredAtNanos() >= MAX_ORDER_DELAY_NANOS);
	}

	/**
	 * Returns whether an order for an earlier life may still reach an instance.
	 * @param nowNanos the monotonic time
	 * @param instance the instance
	 * @param departed the instances that the list dropped lately
	 * @return whether one may
	 */
	boolean mayReach(long nowNanos, ServingInstance instance, Collection<ServingInstance> departed) {
		final UnansweredJoin join = this.byAddress.get(instance.address());
		if (join != null && !join.instanceId().equals(instance.id())) {
			return true;
		}
		return this.tookOver && nowNanos - this.takenOverAtNanos < MAX_ORDER_DELAY_NANOS && departed.stream()
			.anyMatch((gone) -> gone.address().equals(instance.address()) && !gone.id().equals(instance.id()));
	}

	/**
	 * An unanswered order.
	 *
	 * @param instanceId the instance that it was for
	 * @param unansweredAtNanos when it was known to be unanswered, by the monotonic clock
	 */
	private record UnansweredJoin(String instanceId, long unansweredAtNanos) {

	}

}
