package org.pistachioline.core.planner;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.pistachioline.core.state.GroupState;

/**
 * What a planner notes between decisions: since when something has been so.
 * <p>
 * It is lost when the planner is replaced, and starts empty at the next one. Every wait
 * then begins anew, so that a loss of it delays a change and never hastens one.
 */
public final class PlannerMemory {

	/** How long a model takes to load until it was seen to. */
	private static final long INITIAL_LOAD_ESTIMATE_NANOS = 60_000_000_000L;

	/** A planner that just took a domain has not heard of its members yet. */
	private static final long TAKEOVER_NANOS = 5_000_000_000L;

	private static final double LOAD_SAMPLE_WEIGHT = 0.5;

	private static final long MINUTE_NANOS = 60_000_000_000L;

	private final Map<String, Long> conditionSinceNanos = new HashMap<>();

	private final Set<String> queriedConditions = new HashSet<>();

	private final Set<Long> completedEpochs = new HashSet<>();

	private final Map<Long, Long> firstSeenAtNanos = new HashMap<>();

	private final Map<String, Long> expectedLoadNanosByModel = new HashMap<>();

	private final Map<String, Integer> desiredByModel = new HashMap<>();

	private final Map<String, Deque<StartedLoads>> recentLoadsByPool = new HashMap<>();

	private boolean started;

	/**
	 * Notes what the agreed groups show.
	 * @param input all that is known
	 */
	void startPass(PlannerInput input) {
		this.queriedConditions.clear();
		final Set<Long> epochs = new HashSet<>();
		for (final GroupState group : input.fleet().groups().values()) {
			epochs.add(group.epoch());
			final boolean missing = input.missingRanks().containsKey(group.groupId());
			// A planner that starts cannot tell when a loading group began; it counts as
			// now.
			if (this.firstSeenAtNanos.putIfAbsent(group.epoch(), input.nowNanos()) == null
					&& (this.started || missing)) {
				recordLoads(input, group);
			}
			if (!missing && this.completedEpochs.add(group.epoch()) && this.started) {
				updateLoadEstimate(group, input.nowNanos());
			}
		}
		this.firstSeenAtNanos.keySet().retainAll(epochs);
		this.completedEpochs.retainAll(epochs);
		this.started = true;
	}

	/**
	 * Forgets all that was not asked about since the decision began.
	 */
	void endPass() {
		this.conditionSinceNanos.keySet().retainAll(this.queriedConditions);
	}

	private void recordLoads(PlannerInput input, GroupState group) {
		input.manifest()
			.model(group.model())
			.ifPresent((model) -> this.recentLoadsByPool.computeIfAbsent(model.pool(), (key) -> new ArrayDeque<>())
				.add(new StartedLoads(input.nowNanos(), group.members().size())));
	}

	private void updateLoadEstimate(GroupState group, long nowNanos) {
		final long tookNanos = nowNanos - this.firstSeenAtNanos.get(group.epoch());
		this.expectedLoadNanosByModel.merge(group.model(), tookNanos,
				(known, took) -> (long) (known + LOAD_SAMPLE_WEIGHT * (took - known)));
	}

	/**
	 * Returns how many member loads of a pool began within the last minute.
	 * @param pool the pool
	 * @param nowNanos the monotonic time
	 * @return how many
	 */
	int loadsStartedWithinMinute(String pool, long nowNanos) {
		final Deque<StartedLoads> loads = this.recentLoadsByPool.computeIfAbsent(pool, (key) -> new ArrayDeque<>());
		while (!loads.isEmpty() && nowNanos - loads.peek().startedAtNanos() >= MINUTE_NANOS) {
			loads.poll();
		}
		return loads.stream().mapToInt(StartedLoads::count).sum();
	}

	/**
	 * Returns since when something has been so, which is now where it was not so before.
	 * @param what what is so
	 * @param nowNanos the monotonic time
	 * @return since when
	 */
	long sinceNanos(String what, long nowNanos) {
		this.queriedConditions.add(what);
		return this.conditionSinceNanos.computeIfAbsent(what, (key) -> nowNanos);
	}

	/**
	 * Returns whether this planner has had a fabric domain for long enough to judge it.
	 * @param domain the fabric domain, which it plans
	 * @param nowNanos the monotonic time
	 * @return whether it has
	 */
	boolean isTakeoverComplete(String domain, long nowNanos) {
		return nowNanos - sinceNanos("mine " + domain, nowNanos) >= TAKEOVER_NANOS;
	}

	boolean wasComplete(GroupState group) {
		return this.completedEpochs.contains(group.epoch());
	}

	long firstSeenAtNanos(GroupState group) {
		return this.firstSeenAtNanos.get(group.epoch());
	}

	long expectedLoadNanos(String model) {
		return this.expectedLoadNanosByModel.getOrDefault(model, INITIAL_LOAD_ESTIMATE_NANOS);
	}

	int desiredReplicas(String model, int unlessKnown) {
		return this.desiredByModel.getOrDefault(model, unlessKnown);
	}

	void setDesiredReplicas(String model, int replicas) {
		this.desiredByModel.put(model, replicas);
	}

	private record StartedLoads(long startedAtNanos, int count) {
	}

}
