package org.pistachioline.core.backoff;

/**
 * For how long one instance wants no requests of this daemon.
 * <p>
 * An instance that turns a request away may say how long it wants nothing, and one that
 * leaves says so in each answer. Both bind the daemon that heard it and no other: the
 * instance tells each daemon by itself.
 */
public final class InstanceBackoff {

	/** What is left of the wait for an instance that leaves. */
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
	 * Takes word that the instance wants nothing for a while. Answers overtake each
	 * other, so the later end counts.
	 * @param nowNanos the monotonic time
	 * @param forNanos for how long
	 * @return whether the instance wanted requests before
	 */
	boolean extend(long nowNanos, long forNanos) {
		final boolean news = !isActive(nowNanos);
		if (news) {
			this.attempts = 0;
		}
		if (!this.requested || nowNanos + forNanos - this.endsAtNanos > 0) {
			this.endsAtNanos = nowNanos + forNanos;
		}
		this.requested = true;
		return news;
	}

	/**
	 * Takes word that the instance leaves; it never comes back under its id.
	 * @return whether that is news
	 */
	boolean markLeaving() {
		final boolean news = !this.leaving;
		this.leaving = true;
		return news;
	}

	/**
	 * Returns whether the instance leaves.
	 * @return whether it has said so
	 */
	public boolean isLeaving() {
		return this.leaving;
	}

	/**
	 * Returns whether the instance wants no requests.
	 * @param nowNanos the monotonic time
	 * @return whether it wants none
	 */
	public boolean isActive(long nowNanos) {
		return remainingNanos(nowNanos) > 0;
	}

	/**
	 * Returns how long the instance wants no requests yet.
	 * @param nowNanos the monotonic time
	 * @return the time; 0 where it takes requests, {@link #INDEFINITE_NANOS} where it
	 * leaves
	 */
	public long remainingNanos(long nowNanos) {
		if (this.leaving) {
			return INDEFINITE_NANOS;
		}
		return this.requested ? Math.max(0, this.endsAtNanos - nowNanos) : 0;
	}

	/**
	 * Counts an attempt that starts.
	 * @param nowNanos the monotonic time
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
