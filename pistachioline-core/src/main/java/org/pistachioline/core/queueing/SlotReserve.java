package org.pistachioline.core.queueing;

import java.util.Collection;
import java.util.function.ToDoubleFunction;

/**
 * Reserves slots for workspaces that use less than their share.
 * <p>
 * A running request cannot be preempted, so that with fair queueing alone a light
 * workspace would wait beside a flooding one until a slot becomes free: a moment where
 * the flood's requests are short, but minutes where they are long. Against requests that
 * end within seconds, a few percent of the slots are reserved; the first requests of a
 * light workspace take them, and the slots that become free next refill the reserve.
 * Against requests that hold a slot for longer, the number of slots that the other
 * workspaces used recently is reserved, plus two standard deviations of such a count.
 * Nothing is reserved where no other workspace had demand recently, and a workspace below
 * its share is never held back, so that a workspace on its own can use all slots.
 */
final class SlotReserve {

	private static final double SHORT_WORK_RESERVE_RATIO = 0.04;

	private static final double DEVIATION_FACTOR = 2;

	/**
	 * The average number of concurrent requests below which a workspace counts as idle.
	 */
	private static final double MIN_DEMAND = 0.02;

	/**
	 * Returns how many slots a workspace must leave free.
	 * @param nowNanos the monotonic time
	 * @param flow the workspace's requests
	 * @param hasLongService whether the workspace's requests hold a slot for long
	 * @param slots the number of slots, free or not
	 * @param flows the requests of all workspaces
	 * @param weights the weights of the workspaces
	 * @return the number of slots
	 */
	double reservedSlots(long nowNanos, Flow flow, boolean hasLongService, int slots, Collection<Flow> flows,
			ToDoubleFunction<String> weights) {
		double activeWeight = 0;
		boolean otherIsIdle = false;
		for (final Flow other : flows) {
			if (other == flow || other.demand(nowNanos) >= MIN_DEMAND) {
				activeWeight += weights.applyAsDouble(other.workspace);
				otherIsIdle |= other != flow && other.queue.isEmpty();
			}
		}
		final double slotsByWeight = slots / activeWeight;
		if (flow.running < slotsByWeight * weights.applyAsDouble(flow.workspace)) {
			return 0;
		}
		if (!hasLongService) {
			return otherIsIdle ? Math.floor(SHORT_WORK_RESERVE_RATIO * slots) : 0;
		}
		return reservedForOthers(nowNanos, flow, slotsByWeight, flows, weights);
	}

	private static double reservedForOthers(long nowNanos, Flow flow, double slotsByWeight, Collection<Flow> flows,
			ToDoubleFunction<String> weights) {
		double reserved = 0;
		for (final Flow other : flows) {
			final double demand = other.demand(nowNanos);
			if (other != flow && demand >= MIN_DEMAND) {
				final double wanted = demand + DEVIATION_FACTOR * Math.sqrt(demand);
				final double share = slotsByWeight * weights.applyAsDouble(other.workspace);
				reserved += Math.max(0, Math.min(share, wanted) - other.running);
			}
		}
		return reserved;
	}

}
