package org.pistachioline.core.replica;

import java.util.ArrayDeque;
import java.util.Deque;

import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.EngineSpec;

/**
 * Keeps loads from the weight store under its rate.
 * <p>
 * Made for a whole fabric domain that comes back at once: every host then wants its
 * weights, and beyond the store's rate all of them get them later. A planner that takes
 * over does not know what the last one began, so for one window it counts as begun
 * whatever that one can have begun. It does not wait for the window to pass: where
 * daemons are killed or cut off every few seconds the planner changes as often, and
 * nobody would load at all; ten empty hosts were seen to wait for more than fifteen
 * seconds.
 */
final class WeightLoadLimiter {

	/** The part of the rate that is used; orders that were repeated may load twice. */
	private static final double USED_RATE_RATIO = 0.8;

	private static final double NANOS_PER_MILLI = 1e6;

	private static final double NANOS_PER_SECOND = 1e9;

	private final long windowNanos;

	private final Deque<Long> startedAtNanos = new ArrayDeque<>();

	private boolean tookOver;

	private long tookOverAtNanos;

	WeightLoadLimiter(long windowNanos) {
		this.windowNanos = windowNanos;
	}

	void takeOver(long nowNanos) {
		this.startedAtNanos.clear();
		this.tookOver = true;
		this.tookOverAtNanos = nowNanos;
	}

	/**
	 * Forgets that there was a planner before, which began nothing that counts.
	 */
	void ignorePreviousPlanner() {
		this.tookOver = false;
	}

	/**
	 * Begins loads, where the rate allows all of them.
	 * @param nowNanos the monotonic time
	 * @param loads how many
	 * @param engine the rate, how many loads run at once and how long they take
	 * @return whether they may begin
	 */
	boolean tryStart(long nowNanos, int loads, EngineSpec engine) {
		while (!this.startedAtNanos.isEmpty() && nowNanos - this.startedAtNanos.peekFirst() > this.windowNanos) {
			this.startedAtNanos.pollFirst();
		}
		final double allowed = USED_RATE_RATIO * engine.loadsPerSecond() * this.windowNanos / NANOS_PER_SECOND;
		final boolean lately = this.tookOver && nowNanos - this.tookOverAtNanos <= this.windowNanos;
		final double before = lately ? maxPreviousLoads(engine) : 0;
		if (before + this.startedAtNanos.size() + loads > allowed) {
			return false;
		}
		for (int i = 0; i < loads; i++) {
			this.startedAtNanos.addLast(nowNanos);
		}
		return true;
	}

	// A planner begins no load while as many run as the store serves at full speed, so in
	// one window it begins that number once for each load that fits into it.
	private double maxPreviousLoads(EngineSpec engine) {
		final double shortestMillis = engine.models().stream().mapToLong(EngineModel::loadMillis).min().orElse(0);
		final double rounds = Math.ceil(this.windowNanos / NANOS_PER_MILLI / Math.max(1, shortestMillis));
		return Math.max(1, engine.concurrentLoads()) * rounds;
	}

}
