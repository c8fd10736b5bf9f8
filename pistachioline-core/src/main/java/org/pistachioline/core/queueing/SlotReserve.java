package org.pistachioline.core.queueing;

import java.util.Collection;
import java.util.function.ToDoubleFunction;

/**
 * Keeps slots free for workspaces that use less than their share.
 * <p>
 * Made for a flood beside a workspace with a caller at the counter. A slot cannot be
 * taken back from a request that runs, so a fair queue alone lets the light workspace
 * wait until one falls free: a moment when the flood's requests are short, minutes when
 * they are long. Against work that ends within seconds a few slots in a hundred are kept,
 * which the first requests of a light workspace take and the next free slots refill.
 * Against work that holds a slot for longer, the others keep what they lately used and
 * twice the usual spread of such a number. Nothing is kept while no other workspace had
 * demand lately, and a workspace below its share is never held back: all slots serve
 * whoever is alone.
 */
final class SlotReserve {

	private static final double SHORT_WORK_RESERVE_RATIO = 0.04;

	private static final double DEVIATION_FACTOR = 2;

	/** Demand below this many requests at once counts as none. */
	private static final double MIN_DEMAND = 0.02;

	/**
	 * Returns how many slots a workspace must leave free.
	 * @param nowNanos the monotonic time
	 * @param flow the workspace's requests
	 * @param holdsLong whether one of its requests holds a slot for long
	 * @param slots all slots, free or not
	 * @param flows the requests of all workspaces
	 * @param weights the weights of workspaces
	 * @return the number of slots
	 */
	double reservedSlots(long nowNanos, Flow flow, boolean holdsLong, int slots, Collection<Flow> flows,
			ToDoubleFunction<String> weights) {
		double activeWeight = 0;
		boolean light = false;
		for (final Flow other : flows) {
			if (other == flow || other.demand(nowNanos) >= MIN_DEMAND) {
				activeWeight += weights.applyAsDouble(other.workspace);
				light |= other != flow && other.queue.isEmpty();
			}
		}
		final double slotsByWeight = slots / activeWeight;
		if (flow.running < slotsByWeight * weights.applyAsDouble(flow.workspace)) {
			return 0;
		}
		if (!holdsLong) {
			return light ? Math.floor(SHORT_WORK_RESERVE_RATIO * slots) : 0;
		}
		return reservedForOthers(nowNanos, flow, slotsByWeight, flows, weights);
	}

	private static double reservedForOthers(long nowNanos, Flow flow, double slotsByWeight, Collection<Flow> flows,
			ToDoubleFunction<String> weights) {
		double kept = 0;
		for (final Flow other : flows) {
			final double demand = other.demand(nowNanos);
			if (other != flow && demand >= MIN_DEMAND) {
				final double wanted = demand + DEVIATION_FACTOR * Math.sqrt(demand);
				final double share = slotsByWeight * weights.applyAsDouble(other.workspace);
				kept += Math.max(0, Math.min(share, wanted) - other.running);
			}
		}
		return kept;
	}

}
