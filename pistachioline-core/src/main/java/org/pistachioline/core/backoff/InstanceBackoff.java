package org.pistachioline.core.backoff;

/**
 * The backoff that one instance requested of this daemon.
 * <p>
 * An instance that declines a request may state for how long it accepts none, and an
 * instance that is leaving announces it in every response. Both apply only to the daemon
 * that received the response, since the instance informs each daemon itself.
 */
public final class InstanceBackoff {

	/** Remaining backoff of an instance that is leaving. */
	public static final long INDEFINITE_NANOS = Long.MAX_VALUE;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final String instanceId;

	private boolean requested;

	private long endsAtNanos;

	private boolean leaving;

	private int attempts;

	InstanceBackoff(String instanceId) {
		this.instanceId = instanceId;
	}

	/**
	 * Extends the backoff. Responses may arrive out of order, so an earlier end does not
	 * shorten it.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param durationNanos the requested duration in nanoseconds
	 * @return true if no backoff was in force before
	 */
	boolean extend(long nowNanos, long durationNanos) {
		final boolean isNew = !isActive(nowNanos);
		if (isNew) {
			this.attempts = 0;
		}
		if (!this.requested || nowNanos + durationNanos - this.endsAtNanos > 0) {
			this.endsAtNanos = nowNanos + durationNanos;
		}
		this.requested = true;
		return isNew;
	}

	/**
	 * Records that the instance is leaving. This is final, since an instance does not
	 * return under its id.
	 * @return true if this was not known
	 */
	boolean markLeaving() {
		final boolean isNew = !this.leaving;
		this.leaving = true;
		return isNew;
	}

	/**
	 * Returns whether the instance announced that it is leaving.
	 * @return true if it is leaving
	 */
	public boolean isLeaving() {
		return this.leaving;
	}

	/**
	 * Returns whether the instance is to receive no requests.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return true if a backoff is in force or the instance is leaving
	 */
	public boolean isActive(long nowNanos) {
		return remainingNanos(nowNanos) > 0;
	}

	/**
	 * Returns the remaining backoff.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the time in nanoseconds; 0 if none is in force, {@link #INDEFINITE_NANOS}
	 * if the instance is leaving
	 */
	public long remainingNanos(long nowNanos) {
		if (this.leaving) {
			return INDEFINITE_NANOS;
		}
		return this.requested ? Math.max(0, this.endsAtNanos - nowNanos) : 0;
	}

	/**
	 * Counts an attempt that starts in spite of the backoff.
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void onStart(long nowNanos) {
		if (isActive(nowNanos)) {
			this.attempts++;
		}
	}

	BackoffReport report(long nowNanos) {
		return new BackoffReport(this.instanceId, this.leaving,
				this.leaving ? 0 : remainingNanos(nowNanos) / NANOS_PER_MILLI, this.attempts);
	}

}
