package org.pistachioline.core.replica;

import java.util.ArrayDeque;
import java.util.Deque;

import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.EngineSpec;

/**
 * Limits the rate of loads from the weight store.
 * <p>
 * When a whole fabric domain recovers at once, every host needs its weights, and above
 * the store's rate all loads slow down. A new planner does not know which loads the
 * previous one started, so for one window it assumes the maximum that the previous one
 * can have started. It does not wait for the window to pass: if daemons fail or are
 * disconnected every few seconds, the planner changes as often, and no load would ever
 * start. In that case ten empty hosts waited for more than 15 s.
 */
final class WeightLoadLimiter {

	/**
	 * Part of the store's rate that is used, as a repeated order may cause a second load.
	 */
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

	// The loads that this planner started earlier within the window still count.
	void takeOver(long nowNanos) {
		this.tookOver = true;
		this.tookOverAtNanos = nowNanos;
	}

	/**
	 * Stops assuming loads of a previous planner, as none count before the first request.
	 */
	void ignorePreviousPlanner() {
		this.tookOver = false;
	}

	/**
	 * Starts loads if the rate allows all of them.
	 * @param nowNanos the monotonic time
	 * @param loads the number of loads
	 * @param engine the engine specification, with the rate, the concurrency and the
	 * duration of loads
	 * @return whether the loads may start
	 */
	boolean tryStart(long nowNanos, int loads, EngineSpec engine) {
		if (!mayStart(nowNanos, loads, engine)) {
			return false;
		}
		for (int i = 0; i < loads; i++) {
			this.startedAtNanos.addLast(nowNanos);
		}
		return true;
	}

	/**
	 * Returns whether the rate allows loads, without starting them.
	 * @param nowNanos the monotonic time
	 * @param loads the number of loads
	 * @param engine the engine specification, with the rate, the concurrency and the
	 * duration of loads
	 * @return whether all of them may start
	 */
	boolean mayStart(long nowNanos, int loads, EngineSpec engine) {
		while (!this.startedAtNanos.isEmpty() && nowNanos - this.startedAtNanos.peekFirst() > this.windowNanos) {
			this.startedAtNanos.pollFirst();
		}
		final double maxLoads = USED_RATE_RATIO * engine.loadsPerSecond() * this.windowNanos / NANOS_PER_SECOND;
		final boolean recentTakeOver = this.tookOver && nowNanos - this.tookOverAtNanos <= this.windowNanos;
		final double previousLoads = recentTakeOver ? maxPreviousLoads(engine) : 0;
		return previousLoads + this.startedAtNanos.size() + loads <= maxLoads;
	}

	// A planner starts no load while the store already runs as many as it serves at full
	// speed. In one window it therefore starts that number once for each load duration
	// that fits in.
	private double maxPreviousLoads(EngineSpec engine) {
		final double shortestMillis = engine.models().stream().mapToLong(EngineModel::loadMillis).min().orElse(0);
		final double rounds = Math.ceil(this.windowNanos / NANOS_PER_MILLI / Math.max(1, shortestMillis));
		return Math.max(1, engine.concurrentLoads()) * rounds;
	}

}
