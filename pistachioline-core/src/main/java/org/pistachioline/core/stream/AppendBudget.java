package org.pistachioline.core.stream;

/**
 * Limits one daemon to its share of the append rate that the log accepts from all daemons
 * together.
 * <p>
 * The log accepts several hundred appends a second in total. Under overload, for example
 * by non-idempotent requests, daemons that append without a limit would be refused, and
 * the planner's records that repair groups would have to compete with those appends. Each
 * daemon is therefore limited to an equal share. Records over the limit wait and are
 * appended in a larger batch, so only the rate of appends is limited, not the rate of
 * records. The burst lets a daemon that has been idle append its first records
 * immediately.
 */
public final class AppendBudget {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double fleetAppendsPerSecond;

	private final double burstAppends;

	private double availableAppends;

	private long refilledAtNanos;

	/**
	 * Creates a full budget.
	 * @param fleetAppendsPerSecond the allowed appends a second of all daemons together
	 * @param burstAppends how many appends are allowed at once after an idle period
	 * @param nowNanos the monotonic time
	 */
	public AppendBudget(double fleetAppendsPerSecond, double burstAppends, long nowNanos) {
		this.fleetAppendsPerSecond = fleetAppendsPerSecond;
		this.burstAppends = burstAppends;
		this.availableAppends = burstAppends;
		this.refilledAtNanos = nowNanos;
	}

	/**
	 * Takes one append from the budget, if one is available.
	 * @param daemonCount how many daemons share the log
	 * @param nowNanos the monotonic time
	 * @return whether the append is allowed now
	 */
	public boolean tryAcquire(int daemonCount, long nowNanos) {
		final double sharePerSecond = this.fleetAppendsPerSecond / Math.max(1, daemonCount);
		final double earned = (nowNanos - this.refilledAtNanos) / NANOS_PER_SECOND * sharePerSecond;
		this.availableAppends = Math.min(this.burstAppends, this.availableAppends + earned);
		this.refilledAtNanos = nowNanos;
		if (this.availableAppends < 1) {
			return false;
		}
		this.availableAppends--;
		return true;
	}

}
