package org.pistachioline.core.overload;

/**
 * Measures how late an event loop runs, by ticks that it should run at a fixed interval.
 * <p>
 * A single late tick is a pause, such as one of the garbage collector, after which the
 * loop is on time again. Only a loop that is late twice in a row has more work than
 * processor time. Not thread-safe.
 */
public final class LoopLag {

	/** Share of the recent lag that remains with each tick that is on time. */
	private static final double RETAINED_RATIO = 0.95;

	private final long intervalNanos;

	private long lastTickNanos;

	private long lastLagNanos;

	private long previousLagNanos;

	private double recentNanos;

	/**
	 * Creates a measurement without any lag.
	 * @param intervalNanos the interval between the end of a tick and the next one, in
	 * nanoseconds
	 * @param nowNanos the monotonic time
	 */
	public LoopLag(long intervalNanos, long nowNanos) {
		this.intervalNanos = intervalNanos;
		this.lastTickNanos = nowNanos;
	}

	/**
	 * Records a tick.
	 * @param nowNanos the monotonic time
	 */
	public void onTick(long nowNanos) {
		this.previousLagNanos = this.lastLagNanos;
		this.lastLagNanos = dueSinceNanos(nowNanos);
		this.lastTickNanos = nowNanos;
		this.recentNanos = Math.max(this.lastLagNanos, this.recentNanos * RETAINED_RATIO);
	}

	/**
	 * Returns the lag of the loop if it is late more than once.
	 * @param nowNanos the monotonic time
	 * @return the lag in nanoseconds; 0 for a loop that runs on time
	 */
	public long sustainedNanos(long nowNanos) {
		return Math.max(Math.min(this.previousLagNanos, this.lastLagNanos),
				Math.min(this.lastLagNanos, dueSinceNanos(nowNanos)));
	}

	/**
	 * Returns the largest lag of the last seconds, which declines with time.
	 * @return the lag in nanoseconds
	 */
	public long recentNanos() {
		return (long) this.recentNanos;
	}

	private long dueSinceNanos(long nowNanos) {
		return Math.max(0, nowNanos - this.lastTickNanos - this.intervalNanos);
	}

}
