package org.pistachioline.core.placement;

import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import org.pistachioline.core.traffic.RequestInfo;

/**
 * Chooses the target with the lowest expected wait among a few candidates.
 * <p>
 * All daemons see the same load reports, which are about a second old. If each daemon
 * chose the best of all targets, all would choose the same one and overload it. The
 * candidates are therefore six targets drawn at random, the known holders of the prompt's
 * prefix, and the target that the prefix is assigned to: the best of these is nearly as
 * good and differs from daemon to daemon. The cost of a decision does not depend on the
 * number of targets.
 * <p>
 * A group that has lost a member accepts requests and produces no output for seconds,
 * until the loss is detected. Where groups fail frequently, the time for which a target
 * has made no progress beyond a normal pause, while it runs requests of this daemon, is
 * therefore added to its expected wait, so that new requests avoid it after a fraction of
 * a second. Where groups seldom fail this is disabled: most pauses are then long
 * prefills, and avoiding a prefix's assigned target because of them lowered the cache hit
 * ratio of a trace from above 0.7 to 0.699.
 */
public final class ExpectedWaitPlacement implements PlacementPolicy {

	private static final int SAMPLED_TARGETS = 6;

	/**
	 * The bound on remembered prefixes of 64 tokens each; together they take about 8 MB.
	 */
	private static final int MAX_PREFIXES = 65_536;

	/**
	 * The penalty of a full target: larger batches are slower, and the next request may
	 * find no free slot.
	 */
	private static final double FULL_TARGET_PENALTY_MILLIS = 60;

	private static final double PREFILL_TOKENS_PER_MILLI = 10;

	/** The round-trip time between two availability zones. */
	private static final double CROSS_ZONE_ROUND_TRIP_MILLIS = 3;

	/** The number of output tokens that a caller needs before it can start to read. */
	private static final double INITIAL_OUTPUT_TOKENS = 32;

	/**
	 * The part of a prompt's prefix that its assigned target is expected to hold, even
	 * before it is known to hold any.
	 */
	private static final double ASSIGNED_HIT_RATIO = 0.9;

	/**
	 * The weight of prefix blocks that another target holds. Each use there keeps a
	 * second copy in a small cache, which evicts some other prefix.
	 */
	private static final double OTHER_HOLDER_HIT_RATIO = 0.5;

	/**
	 * The longest pause in the output of a healthy engine that prefills long prompts
	 * between the steps of its streams.
	 */
	private static final double NORMAL_PAUSE_MILLIS = 150;

	/**
	 * The weight of a millisecond without progress beyond a normal pause. It exceeds 1
	 * since the stall of a dead target lasts long.
	 */
	private static final double STALL_WEIGHT = 2;

	/**
	 * The penalty of each consecutive failure. A group that was closed declines all
	 * requests until the instance list shows it, about a second later, and each request
	 * that is sent there uses up one of its attempts.
	 */
	private static final double FAILURE_PENALTY_MILLIS = 300;

	private static final int MAX_ASSIGNMENTS = 8_192;

	private static final double NANOS_PER_MILLI = 1e6;

	private final String availabilityZone;

	private final boolean frequentGroupFailures;

	private final UniformRandomProvider random;

	private final PrefixIndex prefixes = new PrefixIndex(MAX_PREFIXES);

	private final PrefixAssignments assignments = new PrefixAssignments(MAX_ASSIGNMENTS);

	private final PrefixIndex.Matches prefixMatches = new PrefixIndex.Matches();

	/**
	 * Creates a policy for fleets in which groups seldom fail.
	 * @param availabilityZone the availability zone of this daemon
	 * @param seed the random seed, which must differ between daemons
	 */
	public ExpectedWaitPlacement(String availabilityZone, long seed) {
		this(availabilityZone, seed, false);
	}

	/**
	 * Creates a policy.
	 * @param availabilityZone the availability zone of this daemon
	 * @param seed the random seed, which must differ between daemons
	 * @param frequentGroupFailures whether groups fail every few seconds; stalls and
	 * failures of targets then count as expected wait, and new groups skip the slow start
	 */
	public ExpectedWaitPlacement(String availabilityZone, long seed, boolean frequentGroupFailures) {
		this.frequentGroupFailures = frequentGroupFailures;
		this.availabilityZone = availabilityZone;
		this.random = RandomSource.SPLIT_MIX_64.create(seed);
	}

	@Override
	public Optional<TargetLoad> choose(long nowNanos, RequestInfo info, TargetSet targets, Set<String> triedTargetIds) {
		final int count = targets.available().size();
		if (count == 0) {
			return Optional.empty();
		}
		this.prefixes.findMatches(info.prefixHashes(), this.prefixMatches);
		final TargetLoad assigned = assignedTarget(info, targets);
		TargetLoad best = null;
		double bestMillis = Double.MAX_VALUE;
		for (int i = 0; i <= SAMPLED_TARGETS + this.prefixMatches.count(); i++) {
			final TargetLoad load = candidate(i, targets, assigned);
			if (load != null && targets.isAvailable(load) && !triedTargetIds.contains(load.view().targetId())) {
				final double waitMillis = expectedWaitMillis(info, targets, load, load == assigned)
						+ faultPenaltyMillis(nowNanos, load);
				if (waitMillis < bestMillis) {
					best = load;
					bestMillis = waitMillis;
				}
			}
		}
		return (best != null) ? Optional.of(best) : firstUntried(targets, triedTargetIds);
	}

	private TargetLoad assignedTarget(RequestInfo info, TargetSet targets) {
		if (info.prefixHashes().isEmpty()) {
			return null;
		}
		final Long rootHash = info.prefixHashes().get(0);
		final TargetLoad first = targets.byHash(rootHash, false);
		final TargetLoad second = targets.byHash(rootHash, true);
		final String firstId = first.view().targetId();
		final String secondId = second.view().targetId();
		return this.assignments.prefersSecond(rootHash, firstId, secondId, this.prefixMatches.cachedBlocks(firstId) > 0,
				this.prefixMatches.cachedBlocks(secondId) > 0) ? second : first;
	}

	private TargetLoad candidate(int index, TargetSet targets, TargetLoad assigned) {
		if (index < SAMPLED_TARGETS) {
			return targets.available().get(this.random.nextInt(targets.available().size()));
		}
		if (index < SAMPLED_TARGETS + this.prefixMatches.count()) {
			return targets.byId(this.prefixMatches.targetId(index - SAMPLED_TARGETS));
		}
		return assigned;
	}

	private double expectedWaitMillis(RequestInfo info, TargetSet targets, TargetLoad load, boolean isAssigned) {
		final int cachedBlocks = this.prefixMatches.cachedBlocks(load.view().targetId());
		final double expectedBlocks = isAssigned ? ASSIGNED_HIT_RATIO * info.prefixHashes().size()
				: OTHER_HOLDER_HIT_RATIO * cachedBlocks;
		final double cachedTokens = expectedBlocks * PrefixHashes.BLOCK_TOKENS;
		final double prefillMillis = Math.max(0, info.promptTokens() - cachedTokens) / PREFILL_TOKENS_PER_MILLI;
		final double utilization = load.utilizationRatio(targets.daemonCount());
		final double tokenNanos = (load.interTokenLatency().samples() > 0) ? load.interTokenLatency().meanNanos()
				: targets.medianInterTokenNanos();
		final double zoneMillis = load.view().availabilityZone().equals(this.availabilityZone) ? 0
				: CROSS_ZONE_ROUND_TRIP_MILLIS;
		return prefillMillis + FULL_TARGET_PENALTY_MILLIS * utilization * utilization
				+ INITIAL_OUTPUT_TOKENS * tokenNanos / NANOS_PER_MILLI + zoneMillis;
	}

	private static double stallPenaltyMillis(long nowNanos, TargetLoad load) {
		if (load.inFlight() == 0) {
			return 0;
		}
		final double stalledMillis = (nowNanos - load.progressAtNanos()) / NANOS_PER_MILLI;
		return STALL_WEIGHT * Math.max(0, stalledMillis - NORMAL_PAUSE_MILLIS);
	}

	private double faultPenaltyMillis(long nowNanos, TargetLoad load) {
		return this.frequentGroupFailures ? stallPenaltyMillis(nowNanos, load) + failurePenaltyMillis(nowNanos, load)
				: 0;
	}

	private static double failurePenaltyMillis(long nowNanos, TargetLoad load) {
		final FailureHistory failures = load.failures();
		return failures.isRecent(nowNanos) ? FAILURE_PENALTY_MILLIS * failures.consecutive() : 0;
	}

	private static Optional<TargetLoad> firstUntried(TargetSet targets, Set<String> triedTargetIds) {
		for (final TargetLoad load : targets.available()) {
			if (!triedTargetIds.contains(load.view().targetId())) {
				return Optional.of(load);
			}
		}
		return Optional.empty();
	}

	@Override
	public boolean protectsTargets() {
		return true;
	}

	@Override
	public boolean newGroupsSkipSlowStart() {
		return this.frequentGroupFailures;
	}

	@Override
	public void onPlaced(long nowNanos, RequestInfo info, TargetLoad load) {
		this.prefixes.add(nowNanos, info.prefixHashes(), load.view().targetId());
	}

	@Override
	public void onCacheEvents(long nowNanos, CacheEvents events) {
		this.prefixes.apply(nowNanos, events);
	}

	@Override
	public void removeTarget(String targetId) {
		this.prefixes.removeTarget(targetId);
	}

}
