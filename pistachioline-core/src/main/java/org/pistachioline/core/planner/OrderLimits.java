package org.pistachioline.core.planner;

/**
 * Time limits that prevent the orders of a replaced planner from taking effect after
 * those of its successor.
 *
 * @param maxViewAgeNanos the maximum age of the sender's view of the log, counted from
 * before the read
 * @param callTimeoutNanos the maximum duration of a call to an engine
 * @param lifetimeMillis how long an engine may act on an order after it has arrived
 * @param resendIntervalNanos the time after which an order without effect is sent again
 */
public record OrderLimits(long maxViewAgeNanos, long callTimeoutNanos, long lifetimeMillis, long resendIntervalNanos) {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * The default limits. The log is polled every two seconds, so that a working
	 * planner's view is rarely older than that.
	 */
	public static final OrderLimits DEFAULT = new OrderLimits(3_000 * NANOS_PER_MILLI, 1_000 * NANOS_PER_MILLI, 2_000,
			1_000 * NANOS_PER_MILLI);

	/**
	 * Returns how long a new planner waits before its first order to engines that ignore
	 * fencing tokens: until the last order that its predecessor could send on a view from
	 * before the claim has arrived and expired.
	 * @return the wait
	 */
	public long handOverNanos() {
		return this.maxViewAgeNanos + this.callTimeoutNanos + this.lifetimeMillis * NANOS_PER_MILLI;
	}

}
