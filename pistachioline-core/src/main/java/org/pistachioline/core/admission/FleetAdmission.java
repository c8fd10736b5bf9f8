package org.pistachioline.core.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import org.pistachioline.core.demand.DemandEstimate;
import org.pistachioline.core.demand.DemandKey;
import org.pistachioline.core.demand.FleetDemand;
import org.pistachioline.core.demand.UsualTimeouts;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.WorkspaceSpec;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;

/**
 * Admits requests by priority and workspace as far as the slots of all targets go for the
 * estimated demand of all daemons.
 * <p>
 * While the demand is below the room, all requests are admitted. Above it, each daemon
 * refuses the same part of each kind of request, as one daemon would that sees them all.
 * A refused request never waits, and its caller is told to come back at a time that is
 * spread over the later part of what it respects.
 */
public final class FleetAdmission implements AdmissionPolicy {

	private static final int MAX_TARGET_NAMES = 64;

	private static final double NANOS_PER_MILLI = 1e6;

	/** Callers respect a retry time up to this part of the time that they have left. */
	private static final double RESPECTED_RATIO = 1.0 / 3;

	/** The earliest retry, as a part of the time that callers respect. */
	private static final double EARLIEST_RETRY_RATIO = 0.4;

	private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

	/** The part of its objective that a request may wait for a slot. */
	private static final double MAX_WAIT_RATIO = 0.5;

	private final UniformRandomProvider random;

	private final IntSupplier daemonCount;

	private final SlotTimes slotTimes = new SlotTimes();

	private final UsualTimeouts usualTimeouts = new UsualTimeouts();

	private final Map<String, TargetAdmission> targets = new HashMap<>();

	private SlotCounts slots;

	private FleetDemand demand;

	private Map<String, Double> weights = Map.of();

	/**
	 * Creates the admission of a daemon that knows no demand.
	 * @param seed the random seed, different on each daemon
	 * @param daemonCount supplies the number of daemons that share the targets
	 */
	public FleetAdmission(long seed, IntSupplier daemonCount) {
		this.random = RandomSource.SPLIT_MIX_64.create(seed);
		this.daemonCount = daemonCount;
	}

	@Override
	public void configure(long nowNanos, Manifest manifest) {
		final Map<String, Double> next = new HashMap<>();
		for (final WorkspaceSpec workspace : manifest.workspaces()) {
			if (workspace.weight() > 0) {
				next.put(workspace.name(), workspace.weight());
			}
		}
		this.weights = next;
	}

	@Override
	public void bind(SlotCounts counts) {
		this.slots = counts;
	}

	@Override
	public RequestInfo onArrival(long nowNanos, RequestInfo info) {
		final long softDeadlineNanos = this.usualTimeouts.softDeadlineNanos(nowNanos, info);
		demandAt(nowNanos).onArrival(nowNanos, keyOf(info), info.workspace(), costOf(info),
				softDeadlineNanos <= nowNanos);
		return (softDeadlineNanos == info.softDeadlineNanos()) ? info : info.withSoftDeadlineNanos(softDeadlineNanos);
	}

	@Override
	public Optional<Refusal> admit(long nowNanos, RequestInfo info) {
		final TargetAdmission target = targetOf(info);
		if (target.isDue(nowNanos)) {
			target.update(nowNanos, this.slots.servingSlots(info), this.slots.unusedSlots(info), demandAt(nowNanos),
					Math.max(1, this.daemonCount.getAsInt()), this.slotTimes,
					(workspace) -> this.weights.getOrDefault(workspace, 1.0));
		}
		final double ratio = target.admittedRatio(keyOf(info), info.workspace(), info.softDeadlineNanos() <= nowNanos);
		if (ratio >= 1 || this.random.nextDouble() < ratio) {
			return Optional.empty();
		}
		return Optional.of(new Refusal(ErrorKind.OVERLOADED, retryAfterMillis(nowNanos, info, 0)));
	}

	/**
	 * Returns a delay that callers respect, spread so that those who are refused together
	 * do not come back together.
	 */
	@Override
	public long retryAfterMillis(long nowNanos, RequestInfo info, long defaultMillis) {
		demandAt(nowNanos).onRefused(nowNanos, keyOf(info));
		final double respectedMillis = Math.max(0, info.totalDeadlineNanos() - nowNanos) * RESPECTED_RATIO
				/ NANOS_PER_MILLI;
		final double part = EARLIEST_RETRY_RATIO + (1 - EARLIEST_RETRY_RATIO) * this.random.nextDouble();
		return Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(1, (long) (respectedMillis * part)));
	}

	@Override
	public void onServed(long nowNanos, RequestInfo info, long slotNanos, long waitNanos) {
		this.slotTimes.onServed(keyOf(info), costOf(info), slotNanos);
		final long arrivedAtNanos = nowNanos - slotNanos - waitNanos;
		final long objectiveNanos = info.softDeadlineNanos() - arrivedAtNanos;
		if (objectiveNanos > 0) {
			targetOf(info).onStarted(waitNanos > MAX_WAIT_RATIO * objectiveNanos);
		}
	}

	/**
	 * Returns whether the targets have room for late requests beside those on time.
	 * @param info a request
	 * @return whether some late requests of its kind are admitted
	 */
	public boolean hasRoomForLate(RequestInfo info) {
		return targetOf(info).admittedRatio(keyOf(info), info.workspace(), true) > 0;
	}

	@Override
	public void release(long nowNanos, RequestInfo info) {
		// Admission depends on rates, not on what runs.
	}

	/**
	 * Records the estimate of a peer.
	 * @param nowNanos the monotonic time
	 * @param heard the estimate
	 * @return whether it is used; false for one that is empty or impossible
	 */
	public boolean onPeerEstimate(long nowNanos, DemandEstimate heard) {
		return demandAt(nowNanos).onPeerEstimate(nowNanos, heard);
	}

	/**
	 * Returns this daemon's estimate of the mean demand of a daemon, to be sent to peers.
	 * Workspaces are included only for models and services with too little room.
	 * @param nowNanos the monotonic time
	 * @return the estimate
	 */
	public DemandEstimate meanDemand(long nowNanos) {
		return demandAt(nowNanos).estimate(nowNanos,
				(name) -> this.targets.containsKey(name) && this.targets.get(name).isRestricted());
	}

	/**
	 * Returns the estimated demand of all daemons.
	 * @param nowNanos the monotonic time
	 * @return the demand
	 */
	public DemandEstimate fleetDemand(long nowNanos) {
		return demandAt(nowNanos).estimate(nowNanos, (name) -> true).times(Math.max(1, this.daemonCount.getAsInt()));
	}

	/**
	 * Returns the number of estimates of peers that were impossible.
	 * @return the number of estimates
	 */
	public long rejectedEstimateCount() {
		return (this.demand != null) ? this.demand.rejectedCount() : 0;
	}

	/**
	 * Returns the admission to each model and service that has had requests lately, for
	 * operators.
	 * @param nowNanos the monotonic time
	 * @return the reports, by name
	 */
	public List<AdmissionReport> reports(long nowNanos) {
		this.targets.values().removeIf((target) -> target.isOutdated(nowNanos));
		return this.targets.values()
			.stream()
			.map(TargetAdmission::report)
			.sorted(Comparator.comparing(AdmissionReport::name))
			.toList();
	}

	private FleetDemand demandAt(long nowNanos) {
		if (this.demand == null) {
			this.demand = new FleetDemand(nowNanos);
		}
		return this.demand;
	}

	private TargetAdmission targetOf(RequestInfo info) {
		if (this.targets.size() >= MAX_TARGET_NAMES && !this.targets.containsKey(info.name())) {
			this.targets.clear();
		}
		return this.targets.computeIfAbsent(info.name(), TargetAdmission::new);
	}

	private static DemandKey keyOf(RequestInfo info) {
		return new DemandKey(info.name(), info.priority());
	}

	private static double costOf(RequestInfo info) {
		return (info.targetKind() == TargetKind.MODEL) ? Math.max(1, info.costTokens()) : 1;
	}

}
