package org.pistachioline.core.planner;

/**
 * The times that keep an old planner's orders apart from its successor's.
 *
 * @param maxViewAgeNanos how old the sender's view of the log may be, counted from before
 * the read
 * @param callTimeoutNanos how long a call to an engine may be on its way
 * @param lifetimeMillis how long an engine may act on an order after it came
 * @param resendIntervalNanos how long an order is left to work before it is given again
 */
public record OrderLimits(long maxViewAgeNanos, long callTimeoutNanos, long lifetimeMillis, long resendIntervalNanos) {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * The limits in use: the log is read by polls of two seconds, so that a healthy view
	 * is seldom older than that.
	 */
	public static final OrderLimits DEFAULT = new OrderLimits(3_000 * NANOS_PER_MILLI, 1_000 * NANOS_PER_MILLI, 2_000,
			1_000 * NANOS_PER_MILLI);

	/**
	 * Returns how long a new planner waits before its first order to engines that ignore
	 * fencing numbers: until the last order that the old one could send on a view from
	 * before the claim has arrived and expired.
	 * @return the wait
	 */
	public long handOverNanos() {
		return this.maxViewAgeNanos + this.callTimeoutNanos + this.lifetimeMillis * NANOS_PER_MILLI;
	}

}
