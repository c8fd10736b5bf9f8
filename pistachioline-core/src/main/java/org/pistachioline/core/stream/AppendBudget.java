package org.pistachioline.core.stream;

/**
 * Holds one daemon to its share of the appends that the log takes from all.
 * <p>
 * The log takes several hundred appends a second from everybody together. In a storm, say
 * of non-idempotent requests, daemons that append as fast as they can get refusals, and
 * the planner's record that would mend a group waits among them. Each daemon therefore
 * takes an equal share, and what does not fit waits and goes out in a larger batch, so
 * that records a second are not held down, only appends. The burst lets a quiet daemon's
 * first records go at once.
 */
public final class AppendBudget {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double fleetAppendsPerSecond;

	private final double burstAppends;

	private double availableAppends;

	private long refilledAtNanos;

	/**
	 * Creates a full budget.
	 * @param allPerSecond the appends a second of all daemons together
	 * @param burst how many appends may go at once after a quiet time
	 * @param nowNanos the monotonic time
	 */
	public AppendBudget(double allPerSecond, double burst, long nowNanos) {
		this.fleetAppendsPerSecond = allPerSecond;
		this.burstAppends = burst;
		this.availableAppends = burst;
		this.refilledAtNanos = nowNanos;
	}

	/**
	 * Takes one append from the budget.
	 * @param daemons how many daemons share it
	 * @param nowNanos the monotonic time
	 * @return whether it may go now
	 */
	public boolean tryAcquire(int daemons, long nowNanos) {
		final double share = this.fleetAppendsPerSecond / Math.max(1, daemons);
		final double earned = (nowNanos - this.refilledAtNanos) / NANOS_PER_SECOND * share;
		this.availableAppends = Math.min(this.burstAppends, this.availableAppends + earned);
		this.refilledAtNanos = nowNanos;
		if (this.availableAppends < 1) {
			return false;
		}
		this.availableAppends--;
		return true;
	}

}
