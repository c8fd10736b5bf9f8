package org.pistachioline.core.placement;

import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import org.pistachioline.core.traffic.RequestInfo;

/**
 * Chooses the target with the shortest expected wait among a few.
 * <p>
 * Made for several daemons that all see the same reports, a second old. If each chose the
 * best of all targets, they would choose the same one and overrun it; the best of six
 * drawn by chance, those that hold the prompt's prefix, and the prefix's home is nearly
 * as good and differs from daemon to daemon. The cost of a decision does not depend on
 * how many targets there are.
 * <p>
 * A group that has lost a member takes requests and delivers nothing for seconds. Until
 * the loss is known each request sent there waits in vain. So for as long as a target has
 * been silent beyond the usual while requests of this daemon run there, so much longer a
 * new one is expected to wait; it goes elsewhere after a fraction of a second. That is
 * for pools whose groups break every few seconds. Where they seldom do, most silence is a
 * long prefill, and leaving a prefix's home for it brought the cache hits of a trace from
 * above 0.7 to 0.699.
 */
public final class ExpectedWaitPlacement implements PlacementPolicy {

	private static final int SAMPLED_TARGETS = 6;

	/** At most this many prefixes are remembered: 64 tokens each, about 8 MB in all. */
	private static final int MAX_PREFIXES = 65_536;

	/** What a full target costs: batches grow, and the next request may find no slot. */
	private static final double FULL_TARGET_PENALTY_MILLIS = 60;

	private static final double PREFILL_TOKENS_PER_MILLI = 10;

	/** One way between two availability zones and back. */
	private static final double CROSS_ZONE_ROUND_TRIP_MILLIS = 3;

	/** How many tokens a caller waits for before it can begin to read. */
	private static final double INITIAL_OUTPUT_TOKENS = 32;

	/** How far a prefix's home counts as a holder of it before it is known to be one. */
	private static final double ASSIGNED_HIT_RATIO = 0.9;

	/**
	 * How far another holder counts: each use there keeps a second copy in a small cache,
	 * which costs some other prefix its place.
	 */
	private static final double OTHER_HOLDER_HIT_RATIO = 0.5;

	/** The longest pass of an engine that reads long prompts beside its streams. */
	private static final double NORMAL_PAUSE_MILLIS = 150;

	/**
	 * What one millisecond of silence beyond the usual counts, as a dead target's ends
	 * late.
	 */
	private static final double STALL_WEIGHT = 2;

	/**
	 * What each failure in a row counts. A group that was closed declines everything
	 * until the list shows it, about a second later; each request that is sent there uses
	 * up one of its attempts.
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
	 * Creates a policy.
	 * @param availabilityZone where this daemon runs
	 * @param seed what makes this daemon's choices differ from the others'
	 */
	public ExpectedWaitPlacement(String availabilityZone, long seed) {
		this(availabilityZone, seed, false);
	}

	/**
	 * Creates a policy.
	 * @param availabilityZone where this daemon runs
	 * @param seed what makes this daemon's choices differ from the others'
	 * @param groupsBreakOften whether groups break every few seconds: their silence and
	 * refusals count then, and a new group is at its full speed at once
	 */
	public ExpectedWaitPlacement(String availabilityZone, long seed, boolean groupsBreakOften) {
		this.frequentGroupFailures = groupsBreakOften;
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
		final TargetLoad home = assignedTarget(info, targets);
		TargetLoad best = null;
		double bestMillis = Double.MAX_VALUE;
		for (int i = 0; i <= SAMPLED_TARGETS + this.prefixMatches.count(); i++) {
			final TargetLoad load = candidate(i, targets, home);
			if (load != null && targets.isAvailable(load) && !triedTargetIds.contains(load.view().targetId())) {
				final double waitMillis = expectedWaitMillis(info, targets, load, load == home)
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
		final Long root = info.prefixHashes().get(0);
		final TargetLoad first = targets.byHash(root, false);
		final TargetLoad second = targets.byHash(root, true);
		final String firstId = first.view().targetId();
		final String secondId = second.view().targetId();
		return this.assignments.prefersSecond(root, firstId, secondId, this.prefixMatches.cachedBlocks(firstId) > 0,
				this.prefixMatches.cachedBlocks(secondId) > 0) ? second : first;
	}

	private TargetLoad candidate(int index, TargetSet targets, TargetLoad home) {
		if (index < SAMPLED_TARGETS) {
			return targets.available().get(this.random.nextInt(targets.available().size()));
		}
		if (index < SAMPLED_TARGETS + this.prefixMatches.count()) {
			return targets.byId(this.prefixMatches.targetId(index - SAMPLED_TARGETS));
		}
		return home;
	}

	private double expectedWaitMillis(RequestInfo info, TargetSet targets, TargetLoad load, boolean isHome) {
		final int heldBlocks = this.prefixMatches.cachedBlocks(load.view().targetId());
		final double trusted = isHome ? ASSIGNED_HIT_RATIO * info.prefixHashes().size()
				: OTHER_HOLDER_HIT_RATIO * heldBlocks;
		final double heldTokens = trusted * PrefixHashes.BLOCK_TOKENS;
		final double prefillMillis = Math.max(0, info.promptTokens() - heldTokens) / PREFILL_TOKENS_PER_MILLI;
		final double full = load.utilizationRatio(targets.daemonCount());
		final double tokenNanos = (load.interTokenLatency().samples() > 0) ? load.interTokenLatency().meanNanos()
				: targets.medianInterTokenNanos();
		final double zoneMillis = load.view().availabilityZone().equals(this.availabilityZone) ? 0
				: CROSS_ZONE_ROUND_TRIP_MILLIS;
		return prefillMillis + FULL_TARGET_PENALTY_MILLIS * full * full
				+ INITIAL_OUTPUT_TOKENS * tokenNanos / NANOS_PER_MILLI + zoneMillis;
	}

	private static double stallPenaltyMillis(long nowNanos, TargetLoad load) {
		if (load.inFlight() == 0) {
			return 0;
		}
		final double silentMillis = (nowNanos - load.progressAtNanos()) / NANOS_PER_MILLI;
		return STALL_WEIGHT * Math.max(0, silentMillis - NORMAL_PAUSE_MILLIS);
	}

	private double faultPenaltyMillis(long nowNanos, TargetLoad load) {
		return this.frequentGroupFailures ? stallPenaltyMillis(nowNanos, load) + failurePenaltyMillis(nowNanos, load)
				: 0;
	}

	private static double failurePenaltyMillis(long nowNanos, TargetLoad load) {
		return load.failedRecently(nowNanos) ? FAILURE_PENALTY_MILLIS * load.consecutiveFailures() : 0;
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
