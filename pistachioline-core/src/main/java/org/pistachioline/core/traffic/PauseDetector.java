package org.pistachioline.core.traffic;

/**
 * Detects from late ticks that this daemon itself was paused, as on a frozen host or a
 * machine without processor time. What targets sent meanwhile has not been read yet, so
 * their silence during the pause proves nothing.
 */
public final class PauseDetector {

	/** Several times the delay of a tick on a busy machine. */
	private static final long MIN_PAUSE_NANOS = 300_000_000L;

	private final long tickIntervalNanos;

	private long lastTickAtNanos;

	private boolean started;

	/**
	 * Creates a detector.
	 * @param tickIntervalNanos the interval of the ticks
	 */
	public PauseDetector(long tickIntervalNanos) {
		this.tickIntervalNanos = tickIntervalNanos;
	}

	/**
	 * Records a tick.
	 * @param nowNanos the monotonic time
	 * @return for how long the daemon was paused since the last tick, in nanoseconds
	 */
	public long onTick(long nowNanos) {
		final long lateNanos = this.started ? nowNanos - this.lastTickAtNanos - this.tickIntervalNanos : 0;
		this.lastTickAtNanos = nowNanos;
		this.started = true;
		return (lateNanos >= MIN_PAUSE_NANOS) ? lateNanos : 0;
	}

}
