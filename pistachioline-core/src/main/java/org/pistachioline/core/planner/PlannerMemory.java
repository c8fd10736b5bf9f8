package org.pistachioline.core.planner;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.pistachioline.core.state.GroupState;

/**
 * Holds what a planner remembers between plans, such as the times since which conditions
 * hold.
 * <p>
 * The memory is not persisted and starts empty at the next planner. Every wait then
 * starts again, so that its loss can delay a change but never cause one early.
 */
public final class PlannerMemory {

	/** The load time that is assumed until a load of the model was observed. */
	private static final long INITIAL_LOAD_ESTIMATE_NANOS = 60_000_000_000L;

	/**
	 * The time in which a planner that just took over a domain does not rely on missing
	 * responses, since its members have not been probed for long enough.
	 */
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
	 * Updates the memory from the groups in the log.
	 * @param input the input of the plan
	 */
	void startPass(PlannerInput input) {
		this.queriedConditions.clear();
		final Set<Long> epochs = new HashSet<>();
		for (final GroupState group : input.fleet().groups().values()) {
			epochs.add(group.epoch());
			final boolean missing = input.missingRanks().containsKey(group.groupId());
			// A new planner cannot tell when the load of a group started and counts
			// it from now.
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
	 * Removes all conditions that were not queried since the pass started.
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
		final long durationNanos = nowNanos - this.firstSeenAtNanos.get(group.epoch());
		this.expectedLoadNanosByModel.merge(group.model(), durationNanos,
				(estimate, sample) -> (long) (estimate + LOAD_SAMPLE_WEIGHT * (sample - estimate)));
	}

	/**
	 * Returns how many member loads of a pool started within the last minute.
	 * @param pool the pool
	 * @param nowNanos the monotonic time
	 * @return the number of loads
	 */
	int loadsStartedWithinMinute(String pool, long nowNanos) {
		final Deque<StartedLoads> loads = this.recentLoadsByPool.computeIfAbsent(pool, (key) -> new ArrayDeque<>());
		while (!loads.isEmpty() && nowNanos - loads.peek().startedAtNanos() >= MINUTE_NANOS) {
			loads.poll();
		}
		return loads.stream().mapToInt(StartedLoads::count).sum();
	}

	/**
	 * Returns the time since which a condition has held; the current time if it did not
	 * hold during the previous pass.
	 * @param condition the key of the condition
	 * @param nowNanos the monotonic time
	 * @return the monotonic time since which it holds
	 */
	long sinceNanos(String condition, long nowNanos) {
		this.queriedConditions.add(condition);
		return this.conditionSinceNanos.computeIfAbsent(condition, (key) -> nowNanos);
	}

	/**
	 * Returns whether this planner has planned a fabric domain for long enough to rely on
	 * missing responses.
	 * @param domain the fabric domain, which this planner plans
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

	int desiredReplicas(String model, int defaultReplicas) {
		return this.desiredByModel.getOrDefault(model, defaultReplicas);
	}

	void setDesiredReplicas(String model, int replicas) {
		this.desiredByModel.put(model, replicas);
	}

	private record StartedLoads(long startedAtNanos, int count) {
	}

}
