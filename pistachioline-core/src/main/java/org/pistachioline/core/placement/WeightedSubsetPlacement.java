package org.pistachioline.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import org.pistachioline.core.traffic.RequestInfo;

/**
 * Chooses targets for one of many daemons that share uneven targets, each of which serves
 * only a small part of the requests.
 * <p>
 * A request goes to a target of the daemon's {@link TargetSubset}, in its own
 * availability zone while one there has room, drawn at random with a weight that grows
 * with the target's slots, pace and room and falls with its recent failures. The reports
 * of load are late; if all daemons chose the emptiest target, they would all choose the
 * same one. A target to which an idle connection exists is preferred among those with
 * room.
 * <p>
 * Beyond the subset requests go when all of it is nearly full, fails or was tried: to
 * targets that are known to have room, then to the next one in the subset's order, one
 * attempt at a time until that target has reported its load. The prefixes of prompts have
 * no influence.
 */
public final class WeightedSubsetPlacement implements PlacementPolicy {

	/**
	 * The utilization from which batches are slow and a late report hides a full target.
	 */
	private static final double NEARLY_FULL_RATIO = 0.8;

	/** The utilization from which a further request would probably wait in the target. */
	private static final double FULL_RATIO = 0.95;

	/**
	 * By how much another target must be emptier to be used instead of a preferred one.
	 */
	private static final double SPILL_MARGIN_RATIO = 0.1;

	/** The factor of a target's weight for an idle connection to it. */
	private static final double WARM_FACTOR = 20;

	/** The factor of a target's weight for each recent failure. */
	private static final double FAILURE_FACTOR = 0.25;

	/** The factor for a target whose last attempts failed a moment ago. */
	private static final double JUST_FAILED_FACTOR = 1e-6;

	/**
	 * The smallest factor for a target's room, so that a full subset is still ordered.
	 */
	private static final double MIN_ROOM_RATIO = 0.1;

	/** The health that a target needs for a request that has failed elsewhere. */
	private static final double MIN_RETRY_HEALTH_RATIO = 0.9;

	/**
	 * The longest pause in the output of a healthy engine that prefills long prompts
	 * between the steps of its streams.
	 */
	private static final double NORMAL_PAUSE_NANOS = 150e6;

	/** The time without progress beyond a normal pause that divides the weight by e. */
	private static final double PAUSE_SCALE_NANOS = 20e6;

	/** The time without progress from which a target counts as unhealthy. */
	private static final double SILENCE_NANOS = 500e6;

	/** The time beyond that which divides the health by e. */
	private static final double SILENCE_SCALE_NANOS = 100e6;

	/** The factor of the weight of a target in another availability zone. */
	private static final double OTHER_ZONE_FACTOR = 0.25;

	/** The utilization to assume where no target has reported its load recently. */
	private static final double UNKNOWN_UTILIZATION_RATIO = 0.5;

	private final String availabilityZone;

	private final long subsetKey;

	private final UniformRandomProvider random;

	private long attempts;

	private long attemptsBeyondSubset;

	private long newConnections;

	/**
	 * Creates a policy.
	 * @param availabilityZone the availability zone of this daemon
	 * @param seed the random seed, which must differ between daemons and decides which
	 * targets this daemon prefers
	 */
	public WeightedSubsetPlacement(String availabilityZone, long seed) {
		this.availabilityZone = availabilityZone;
		this.subsetKey = seed;
		this.random = RandomSource.SPLIT_MIX_64.create(seed);
	}

	@Override
	public TargetSet newTargetSet() {
		return new TargetSet(new TargetSubset(this.availabilityZone, this.subsetKey));
	}

	@Override
	public Optional<TargetLoad> choose(long nowNanos, RequestInfo info, TargetSet targets, Set<String> triedTargetIds) {
		final TargetSubset subset = targets.subset();
		final Choice choice = new Choice(nowNanos, info, targets, triedTargetIds,
				expectedUtilization(nowNanos, subset));
		final TargetLoad near = choice.draw(subset.ranked().subList(0, subset.nearSize()));
		final boolean trusted = near != null && choice.isTrusted(near);
		if (trusted && choice.utilization(near) < NEARLY_FULL_RATIO) {
			return Optional.of(near);
		}
		final TargetLoad other = choice.draw(subset.ranked().subList(subset.nearSize(), subset.ranked().size()));
		if (other != null && choice.isTrusted(other) && (!trusted || choice.isBetter(other, near))) {
			return Optional.of(other);
		}
		return (trusted && choice.utilization(near) < FULL_RATIO) ? Optional.of(near)
				: Optional.ofNullable(choice.healthiest(choice.firstBeyondShares(), near, other));
	}

	private static double expectedUtilization(long nowNanos, TargetSubset subset) {
		double sum = 0;
		double weights = 0;
		for (final TargetLoad load : subset.ranked().subList(0, subset.size())) {
			final double trustRatio = load.trustRatio(nowNanos);
			sum += trustRatio * load.reportedUtilizationRatio();
			weights += trustRatio;
		}
		return (weights > 0) ? Math.min(1, sum / weights) : UNKNOWN_UTILIZATION_RATIO;
	}

	@Override
	public boolean protectsTargets() {
		return true;
	}

	@Override
	public boolean newGroupsSkipSlowStart() {
		return true;
	}

	@Override
	public void onPlaced(long nowNanos, RequestInfo info, TargetLoad load) {
		// A request that may not be sent twice is never sent on a used connection.
		final boolean warm = info.idempotent() && load.warmConnections().take(nowNanos);
		this.attempts++;
		this.attemptsBeyondSubset += load.setEntry().isInSubset() ? 0 : 1;
		this.newConnections += warm ? 0 : 1;
	}

	@Override
	public PlacementCounts counts() {
		return new PlacementCounts(this.attempts, this.attemptsBeyondSubset, this.newConnections);
	}

	/**
	 * The choice of a target for one request.
	 */
	private final class Choice {

		private final long nowNanos;

		private final RequestInfo info;

		private final TargetSet targets;

		private final Set<String> triedTargetIds;

		private final double expectedUtilization;

		Choice(long nowNanos, RequestInfo info, TargetSet targets, Set<String> triedTargetIds,
				double expectedUtilization) {
			this.nowNanos = nowNanos;
			this.info = info;
			this.targets = targets;
			this.triedTargetIds = triedTargetIds;
			this.expectedUtilization = expectedUtilization;
		}

		/**
		 * Draws one of the available, untried targets by weight, in one pass.
		 * @param candidates the targets
		 * @return the drawn one; null where none is available
		 */
		TargetLoad draw(List<TargetLoad> candidates) {
			TargetLoad drawn = null;
			double total = 0;
			for (final TargetLoad load : candidates) {
				if (load.setEntry().isAvailable() && !this.triedTargetIds.contains(load.view().targetId())) {
					final double weight = weight(load);
					total += weight;
					if (drawn == null || WeightedSubsetPlacement.this.random.nextDouble() * total < weight) {
						drawn = load;
					}
				}
			}
			return drawn;
		}

		double utilization(TargetLoad load) {
			final double trustRatio = load.trustRatio(this.nowNanos);
			final double likely = trustRatio * load.reportedUtilizationRatio()
					+ (1 - trustRatio) * this.expectedUtilization;
			return Math.max(likely, (double) load.inFlight() / load.view().slots());
		}

		boolean isBetter(TargetLoad other, TargetLoad preferred) {
			return utilization(other) < utilization(preferred) - SPILL_MARGIN_RATIO;
		}

		/**
		 * Returns whether a target may take this request. One that failed takes only a
		 * part of its requests at first, even where all others failed as well, and none
		 * that failed elsewhere before.
		 * @param load the target
		 * @return whether it may; random
		 */
		boolean isTrusted(TargetLoad load) {
			return healthRatio(load) > (this.triedTargetIds.isEmpty() ? WeightedSubsetPlacement.this.random.nextDouble()
					: MIN_RETRY_HEALTH_RATIO);
		}

		TargetLoad firstBeyondShares() {
			TargetLoad first = null;
			for (final TargetLoad load : this.targets.beyondShares()) {
				if (!this.triedTargetIds.contains(load.view().targetId()) && (first == null || isBefore(load, first))) {
					first = load;
				}
			}
			return first;
		}

		private boolean isBefore(TargetLoad load, TargetLoad other) {
			final boolean healthy = healthRatio(load) > MIN_RETRY_HEALTH_RATIO;
			final boolean otherHealthy = healthRatio(other) > MIN_RETRY_HEALTH_RATIO;
			return (healthy == otherHealthy) ? load.setEntry().subsetRank() < other.setEntry().subsetRank() : healthy;
		}

		/**
		 * Returns the healthiest of some targets.
		 * @param loads the targets, the preferred ones first; may contain null
		 * @return the healthiest; null where there is none
		 */
		TargetLoad healthiest(TargetLoad... loads) {
			TargetLoad best = null;
			for (final TargetLoad load : loads) {
				if (load != null && (best == null || healthRatio(load) > healthRatio(best))) {
					best = load;
				}
			}
			return best;
		}

		private double weight(TargetLoad load) {
			final double room = Math.max(MIN_ROOM_RATIO, 1 - utilization(load));
			final boolean warm = this.info.idempotent() && load.warmConnections().isAny(this.nowNanos);
			return load.view().slots() * room * room * paceRatio(load) * (warm ? WARM_FACTOR : 1)
					* (this.targets.subset().isNear(load) ? 1 : OTHER_ZONE_FACTOR) * healthRatio(load)
					* decay(silentNanos(load) - NORMAL_PAUSE_NANOS, PAUSE_SCALE_NANOS);
		}

		private double paceRatio(TargetLoad load) {
			final double medianNanos = this.targets.medianInterTokenNanos();
			return (medianNanos > 0 && load.interTokenLatency().samples() >= StragglerEjector.MIN_SAMPLES)
					? medianNanos / load.interTokenLatency().meanNanos() : 1;
		}

		private double healthRatio(TargetLoad load) {
			final double justFailed = load.failures().isRecent(this.nowNanos) ? JUST_FAILED_FACTOR : 1;
			return Math.pow(FAILURE_FACTOR, load.failures().weightedCount(this.nowNanos)) * justFailed
					* decay(silentNanos(load) - SILENCE_NANOS, SILENCE_SCALE_NANOS);
		}

		private double silentNanos(TargetLoad load) {
			return (load.inFlight() > 0) ? this.nowNanos - load.progressAtNanos() : 0;
		}

		private static double decay(double nanos, double scaleNanos) {
			return Math.exp(-Math.max(0, nanos) / scaleNanos);
		}

	}

}
