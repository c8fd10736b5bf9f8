package org.pistachioline.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import org.pistachioline.core.demand.DemandKey;
import org.pistachioline.core.demand.DemandRates;
import org.pistachioline.core.demand.FleetDemand;

/**
 * Compares the demand of the fleet for one model or service with its slots and determines
 * which part of each kind of request is admitted.
 * <p>
 * Requests that can be on time go before those that cannot; among these, the most urgent
 * kinds go first, each as far as the room goes. The size of a request does not matter.
 */
final class TargetAdmission {

	private static final long UPDATE_NANOS = 200_000_000L;

	/** The time without a request after which the demand counts as over. */
	private static final long OUTDATED_NANOS = 10_000_000_000L;

	/** The time in which lost slots stop counting; they may be replaced soon. */
	private static final double LOST_SLOTS_NANOS = 1e9;

	/** The part of the slots that may be in use without long waits. */
	private static final double USABLE_RATIO = 0.95;

	private static final double MIN_USABLE_RATIO = 0.8;

	private static final double MAX_USABLE_RATIO = 1.05;

	private static final double LATE_STEP = 0.02;

	private static final double ON_TIME_STEP = 0.005;

	/** The part of the room below which the admission counts as unrestricted again. */
	private static final double RELEASE_RATIO = 0.85;

	/** The part of the slots that is left to requests which are being sent. */
	private static final double UNUSED_RESERVE_RATIO = 0.1;

	private final String name;

	private double usableRatio = USABLE_RATIO;

	private double slots;

	private long updatedAtNanos;

	private boolean updated;

	private boolean restricted;

	private double spareRatio;

	private Map<DemandKey, Ratios> ratios = Map.of();

	private List<AdmissionReport.Kind> kinds = List.of();

	TargetAdmission(String name) {
		this.name = name;
	}

	boolean isDue(long nowNanos) {
		return !this.updated || nowNanos - this.updatedAtNanos >= UPDATE_NANOS;
	}

	boolean isOutdated(long nowNanos) {
		return this.updated && nowNanos - this.updatedAtNanos >= OUTDATED_NANOS;
	}

	/**
	 * Determines the admitted parts anew.
	 * @param nowNanos the monotonic time
	 * @param servingSlots the slots of the serving targets
	 * @param unusedSlots the slots among them that are unused by the last reports
	 * @param demand the mean demand of a daemon
	 * @param daemons the number of daemons
	 * @param slotTimes the slot times of all kinds
	 * @param weights the weights of the workspaces
	 */
	void update(long nowNanos, int servingSlots, int unusedSlots, FleetDemand demand, int daemons, SlotTimes slotTimes,
			ToDoubleFunction<String> weights) {
		final double keptRatio = Math.exp(-(nowNanos - this.updatedAtNanos) / LOST_SLOTS_NANOS);
		this.slots = (this.updated && servingSlots < this.slots)
				? servingSlots + (this.slots - servingSlots) * keptRatio : servingSlots;
		this.updated = true;
		this.updatedAtNanos = nowNanos;
		final List<Load> loads = loads(demand.meanRates(nowNanos), daemons, slotTimes);
		final double wanted = loads.stream().mapToDouble((load) -> load.onTime + load.late).sum();
		final double room = this.slots * this.usableRatio;
		this.restricted = wanted > room || (this.restricted && wanted > RELEASE_RATIO * room);
		admitByRank(loads, room);
		final Map<String, Double> workspaceCosts = (wanted > room) ? demand.meanWorkspaceCosts(this.name) : Map.of();
		final Map<DemandKey, Ratios> next = new HashMap<>();
		for (final Load load : loads) {
			next.put(load.key,
					new Ratios(load.onTimeRatio, load.lateRatio,
							WorkspaceShares.ratios(workspaceCosts, load.onTimeRatio, weights),
							WorkspaceShares.ratios(workspaceCosts, load.lateRatio, weights)));
		}
		this.ratios = next;
		this.spareRatio = spareRatio(loads, unusedSlots);
		this.kinds = loads.stream().map(Load::report).toList();
	}

	// Estimates lag behind demand that falls. Slots that the reports show as unused are
	// therefore given to requests that would be refused, as far as these fill them by
	// Little's law.
	private double spareRatio(List<Load> loads, int unusedSlots) {
		final double spareSlots = unusedSlots - UNUSED_RESERVE_RATIO * this.slots;
		if (spareSlots <= 0) {
			return 0;
		}
		double refusedSlots = 0;
		for (final Load load : loads) {
			final double wantedSlots = load.onTime + load.late;
			refusedSlots += (wantedSlots > 0)
					? wantedSlots * load.rates.refusedPerSecond() / load.rates.requestsPerSecond() : 0;
		}
		return (refusedSlots <= spareSlots) ? 1 : spareSlots / refusedSlots;
	}

	private List<Load> loads(Map<DemandKey, DemandRates> rates, int daemons, SlotTimes slotTimes) {
		final List<Load> loads = new ArrayList<>();
		rates.forEach((key, mean) -> {
			if (key.name().equals(this.name)) {
				loads.add(new Load(key, mean.times(daemons), slotTimes.nanosPerCost(key)));
			}
		});
		loads.sort(Comparator.comparingInt((Load load) -> -load.key.priority()));
		return loads;
	}

	private static void admitByRank(List<Load> loads, double room) {
		double left = room;
		for (final Load load : loads) {
			load.onTimeRatio = part(left, load.onTime);
			left = Math.max(0, left - load.onTime);
		}
		for (final Load load : loads) {
			load.lateRatio = part(left, load.late);
			left = Math.max(0, left - load.late);
		}
	}

	private static double part(double left, double wanted) {
		return (wanted <= left) ? 1 : left / wanted;
	}

	/**
	 * Returns the part of the requests like a given one that is admitted.
	 * @param key the kind of request
	 * @param workspace the caller's workspace
	 * @param late whether it cannot be on time
	 * @return the ratio; 1 for a kind that is not known
	 */
	double admittedRatio(DemandKey key, String workspace, boolean late) {
		final Ratios known = this.ratios.get(key);
		if (known == null) {
			return 1;
		}
		final double ratio = late ? known.lateByWorkspace.getOrDefault(workspace, known.late)
				: known.onTimeByWorkspace.getOrDefault(workspace, known.onTime);
		return ratio + (1 - ratio) * this.spareRatio;
	}

	/**
	 * Adjusts the part of the slots that may be filled, so that admitted requests mostly
	 * start in time.
	 * @param late whether an admitted request waited for a large part of its objective
	 */
	void onStarted(boolean late) {
		if (late) {
			this.usableRatio = Math.max(MIN_USABLE_RATIO, this.usableRatio - LATE_STEP);
		}
		else if (this.restricted || this.usableRatio < USABLE_RATIO) {
			this.usableRatio = Math.min(MAX_USABLE_RATIO, this.usableRatio + ON_TIME_STEP);
		}
	}

	boolean isRestricted() {
		return this.restricted;
	}

	AdmissionReport report() {
		return new AdmissionReport(this.name, this.restricted, (int) Math.round(this.slots), this.usableRatio,
				this.kinds);
	}

	private record Ratios(double onTime, double late, Map<String, Double> onTimeByWorkspace,
			Map<String, Double> lateByWorkspace) {
	}

	private static final class Load {

		private static final double NANOS_PER_SECOND = 1e9;

		private final DemandKey key;

		private final DemandRates rates;

		private final double onTime;

		private final double late;

		private double onTimeRatio = 1;

		private double lateRatio = 1;

		Load(DemandKey key, DemandRates rates, double nanosPerCost) {
			this.key = key;
			this.rates = rates;
			this.late = rates.lateCostPerSecond() * nanosPerCost / NANOS_PER_SECOND;
			this.onTime = rates.costPerSecond() * nanosPerCost / NANOS_PER_SECOND - this.late;
		}

		AdmissionReport.Kind report() {
			return new AdmissionReport.Kind(this.key.priority(), this.rates.requestsPerSecond(),
					this.rates.refusedPerSecond(), this.onTime + this.late, this.onTimeRatio, this.lateRatio);
		}

	}

}
