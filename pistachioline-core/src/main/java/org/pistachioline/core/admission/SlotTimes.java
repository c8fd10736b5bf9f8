package org.pistachioline.core.admission;

import java.util.Map;

import org.pistachioline.core.demand.DemandKey;
import org.pistachioline.core.demand.RecentEntries;

/**
 * Learns for how long requests hold a slot for each unit of their cost.
 */
final class SlotTimes {

	/** The part of the sums that remains with each sample; some 30 samples count. */
	private static final double DECAY_RATIO = 0.97;

	private static final int MAX_KINDS = 64;

	private final Map<DemandKey, Sums> byKind = new RecentEntries<>(MAX_KINDS);

	private final Map<String, Sums> byName = new RecentEntries<>(MAX_KINDS);

	void onServed(DemandKey key, double cost, double slotNanos) {
		if (cost <= 0 || slotNanos <= 0) {
			return;
		}
		this.byKind.computeIfAbsent(key, (added) -> new Sums()).add(cost, slotNanos);
		this.byName.computeIfAbsent(key.name(), (added) -> new Sums()).add(cost, slotNanos);
	}

	/**
	 * Returns the slot time of a kind for each unit of cost.
	 * @param key the kind of request
	 * @return the time, in nanoseconds; that of all requests for the model or service if
	 * none of the kind was served, and 0 if none at all
	 */
	double nanosPerCost(DemandKey key) {
		final Sums sums = this.byKind.getOrDefault(key, this.byName.get(key.name()));
		return (sums != null) ? sums.slotNanos / sums.cost : 0;
	}

	private static final class Sums {

		private double cost;

		private double slotNanos;

		void add(double addedCost, double addedNanos) {
			this.cost = this.cost * DECAY_RATIO + addedCost;
			this.slotNanos = this.slotNanos * DECAY_RATIO + addedNanos;
		}

	}

}
