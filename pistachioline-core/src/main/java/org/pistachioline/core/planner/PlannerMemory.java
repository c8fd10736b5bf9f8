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
	private static final long FIRST_LOAD_NANOS = 60_000_000_000L;

	/** A planner that just took a domain has not heard of its members yet. */
	private static final long SETTLED_NANOS = 5_000_000_000L;

	private static final double LOAD_WEIGHT = 0.5;

	private static final long MINUTE_NANOS = 60_000_000_000L;

	private final Map<String, Long> sinceNanos = new HashMap<>();

	private final Set<String> noted = new HashSet<>();

	private final Set<Long> completed = new HashSet<>();

	private final Map<Long, Long> formedAtNanos = new HashMap<>();

	private final Map<String, Long> loadNanosByModel = new HashMap<>();

	private final Map<String, Integer> desiredByModel = new HashMap<>();

	private final Map<String, Deque<PacedLoads>> loadsByPool = new HashMap<>();

	private boolean begun;

	/**
	 * Notes what the agreed groups show.
	 * @param input all that is known
	 */
	void begin(PlannerInput input) {
		this.noted.clear();
		final Set<Long> epochs = new HashSet<>();
		for (final GroupState group : input.fleet().groups().values()) {
			epochs.add(group.epoch());
			final boolean missing = input.missingRanks().containsKey(group.groupId());
			// A planner that starts cannot tell when a loading group began; it counts as
			// now.
			if (this.formedAtNanos.putIfAbsent(group.epoch(), input.nowNanos()) == null && (this.begun || missing)) {
				noteLoads(input, group);
			}
			if (!missing && this.completed.add(group.epoch()) && this.begun) {
				learnLoad(group, input.nowNanos());
			}
		}
		this.formedAtNanos.keySet().retainAll(epochs);
		this.completed.retainAll(epochs);
		this.begun = true;
	}

	/**
	 * Forgets all that was not asked about since the decision began.
	 */
	void end() {
		this.sinceNanos.keySet().retainAll(this.noted);
	}

	private void noteLoads(PlannerInput input, GroupState group) {
		input.manifest()
			.model(group.model())
			.ifPresent((model) -> this.loadsByPool.computeIfAbsent(model.pool(), (key) -> new ArrayDeque<>())
				.add(new PacedLoads(input.nowNanos(), group.members().size())));
	}

	private void learnLoad(GroupState group, long nowNanos) {
		final long tookNanos = nowNanos - this.formedAtNanos.get(group.epoch());
		this.loadNanosByModel.merge(group.model(), tookNanos,
				(known, took) -> (long) (known + LOAD_WEIGHT * (took - known)));
	}

	/**
	 * Returns how many member loads of a pool began within the last minute.
	 * @param pool the pool
	 * @param nowNanos the monotonic time
	 * @return how many
	 */
	int loadsWithinMinute(String pool, long nowNanos) {
		final Deque<PacedLoads> loads = this.loadsByPool.computeIfAbsent(pool, (key) -> new ArrayDeque<>());
		while (!loads.isEmpty() && nowNanos - loads.peek().atNanos() >= MINUTE_NANOS) {
			loads.poll();
		}
		return loads.stream().mapToInt(PacedLoads::count).sum();
	}

	/**
	 * Returns since when something has been so, which is now where it was not so before.
	 * @param what what is so
	 * @param nowNanos the monotonic time
	 * @return since when
	 */
	long since(String what, long nowNanos) {
		this.noted.add(what);
		return this.sinceNanos.computeIfAbsent(what, (key) -> nowNanos);
	}

	/**
	 * Returns whether this planner has had a fabric domain for long enough to judge it.
	 * @param domain the fabric domain, which it plans
	 * @param nowNanos the monotonic time
	 * @return whether it has
	 */
	boolean isSettled(String domain, long nowNanos) {
		return nowNanos - since("mine " + domain, nowNanos) >= SETTLED_NANOS;
	}

	boolean wasComplete(GroupState group) {
		return this.completed.contains(group.epoch());
	}

	long formedAtNanos(GroupState group) {
		return this.formedAtNanos.get(group.epoch());
	}

	long loadNanos(String model) {
		return this.loadNanosByModel.getOrDefault(model, FIRST_LOAD_NANOS);
	}

	int desired(String model, int unlessKnown) {
		return this.desiredByModel.getOrDefault(model, unlessKnown);
	}

	void desire(String model, int replicas) {
		this.desiredByModel.put(model, replicas);
	}

	private record PacedLoads(long atNanos, int count) {
	}

}
