package org.pistachioline.core.placement;

/**
 * The failed attempts of this daemon at a target: how many in a row, and how many in the
 * recent past, weighted by their age.
 */
final class FailureHistory {

	/**
	 * The time by which the instance list shows that a group was closed, so that a
	 * failure no longer says much.
	 */
	private static final long VALIDITY_NANOS = 1_500_000_000L;

	private static final double HALF_LIFE_NANOS = 4_000_000_000.0;

	private int consecutive;

	private int consecutiveStalls;

	private long lastNanos;

	private double weighted;

	void add(long nowNanos) {
		this.weighted = weightedCount(nowNanos) + 1;
		this.consecutive++;
		this.lastNanos = nowNanos;
	}

	/**
	 * Adds a silence of the target, which is no proof that it failed.
	 * @param nowNanos the monotonic time
	 */
	void addStall(long nowNanos) {
		add(nowNanos);
		this.consecutiveStalls++;
	}

	void endRun() {
		this.consecutive = 0;
		this.consecutiveStalls = 0;
	}

	/**
	 * Returns how many attempts in a row failed otherwise than by silence.
	 * @return the number of attempts
	 */
	int consecutiveErrors() {
		return this.consecutive - this.consecutiveStalls;
	}

	int consecutive() {
		return this.consecutive;
	}

	/**
	 * Returns whether the last attempts failed so recently that the instance list may not
	 * show the cause yet.
	 * @param nowNanos the monotonic time
	 * @return whether they did
	 */
	boolean isRecent(long nowNanos) {
		return this.consecutive > 0 && nowNanos - this.lastNanos < VALIDITY_NANOS;
	}

	/**
	 * Returns the number of failures, each counted by half for every four seconds of its
	 * age. Successes don't reduce it, since a flapping target succeeds between failures.
	 * @param nowNanos the monotonic time
	 * @return the weighted number
	 */
	double weightedCount(long nowNanos) {
		return (this.weighted == 0) ? 0 : this.weighted * Math.pow(2, -(nowNanos - this.lastNanos) / HALF_LIFE_NANOS);
	}

}
