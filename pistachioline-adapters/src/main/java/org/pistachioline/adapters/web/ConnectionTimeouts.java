package org.pistachioline.adapters.web;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Tells when a caller takes too long to send a request, or is idle for too long.
 * <p>
 * The limits may change meanwhile. Callers rely on the times in force when the request or
 * the idle time began, so shorter ones apply only afterwards.
 */
final class ConnectionTimeouts {

	private final Supplier<RequestLimits> limits;

	private final LongSupplier nanoClock;

	private RequestLimits limitsAtStart;

	private boolean reading;

	private long requestBeganAtNanos;

	private long idleSinceNanos;

	/**
	 * Creates the timeouts of a connection that is idle from now on.
	 * @param limits gives what its caller may send now
	 * @param nanoClock the monotonic time, in nanoseconds
	 */
	ConnectionTimeouts(Supplier<RequestLimits> limits, LongSupplier nanoClock) {
		this.limits = limits;
		this.nanoClock = nanoClock;
		this.idleSinceNanos = nanoClock.getAsLong();
		this.limitsAtStart = limits.get();
	}

	/**
	 * Starts a request's time with its first byte. Further calls until its end change
	 * nothing.
	 */
	void onRequestBegun() {
		if (!this.reading) {
			this.reading = true;
			this.requestBeganAtNanos = this.nanoClock.getAsLong();
			this.limitsAtStart = this.limits.get();
		}
	}

	/**
	 * Ends a request's time, as it was read or refused.
	 */
	void onRequestEnded() {
		this.reading = false;
	}

	/**
	 * Starts the idle time behind an answer.
	 */
	void onAnswered() {
		this.idleSinceNanos = this.nanoClock.getAsLong();
		if (!this.reading) {
			this.limitsAtStart = this.limits.get();
		}
	}

	/**
	 * Returns whether a request is being read.
	 * @return whether some of its bytes have arrived, but not all
	 */
	boolean isReading() {
		return this.reading;
	}

	/**
	 * Returns whether the request that is being read takes too long.
	 * @param nowNanos the monotonic time
	 * @param headRead whether its head has been read
	 * @return whether its time is over
	 */
	boolean isTooSlow(long nowNanos, boolean headRead) {
		return this.reading && nowNanos - this.requestBeganAtNanos > nanos(maxReadMillis(headRead));
	}

	/**
	 * Returns whether a connection without requests has been so for too long.
	 * @param nowNanos the monotonic time
	 * @return whether its time is over
	 */
	boolean isIdleTooLong(long nowNanos) {
		final long maxMillis = Math.max(this.limits.get().idleMillis(), this.limitsAtStart.idleMillis());
		return nowNanos - this.idleSinceNanos > nanos(maxMillis);
	}

	private long maxReadMillis(boolean headRead) {
		final RequestLimits now = this.limits.get();
		return headRead ? Math.max(now.bodyMillis(), this.limitsAtStart.bodyMillis())
				: Math.max(now.headMillis(), this.limitsAtStart.headMillis());
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
