package org.pistachioline.standins;

/**
 * Lets a number of appends through each second, with a burst of one second.
 */
final class AppendLimit {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double perSecond;

	private double credit;

	private long creditedAtNanos = Long.MIN_VALUE;

	AppendLimit(double perSecond) {
		this.perSecond = perSecond;
		this.credit = perSecond;
	}

	boolean take(long nowNanos) {
		if (this.creditedAtNanos != Long.MIN_VALUE) {
			this.credit = Math.min(this.perSecond,
					this.credit + (nowNanos - this.creditedAtNanos) / NANOS_PER_SECOND * this.perSecond);
		}
		this.creditedAtNanos = nowNanos;
		if (this.credit < 1) {
			return false;
		}
		this.credit--;
		return true;
	}

}
