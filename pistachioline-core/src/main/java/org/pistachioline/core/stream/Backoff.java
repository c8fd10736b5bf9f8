package org.pistachioline.core.stream;

/**
 * Computes the delays between retries by exponential backoff with jitter, up to a maximum
 * step.
 * <p>
 * During an outage of the log, all daemons fail at once. Without exponential growth, 370
 * daemons would keep making hundreds of failing calls a second; without jitter they would
 * all retry at the same moment and overload the log again. Each delay lies between half
 * and one and a half times the current step. The maximum step keeps the time until the
 * daemons notice that the log has recovered to a few seconds.
 */
public final class Backoff {

	private final long initialDelayMillis;

	private final long maxDelayMillis;

	private long baseDelayMillis;

	/**
	 * Creates a backoff without failures.
	 * @param initialDelayMillis the first step, before jitter
	 * @param maxDelayMillis the maximum step, before jitter
	 */
	public Backoff(long initialDelayMillis, long maxDelayMillis) {
		this.initialDelayMillis = initialDelayMillis;
		this.maxDelayMillis = maxDelayMillis;
	}

	/**
	 * Records a failure and returns the delay before the next try.
	 * @param jitterRatio a random number from 0 to 1
	 * @return the delay, in milliseconds
	 */
	public long nextDelayMillis(double jitterRatio) {
		this.baseDelayMillis = Math.min(this.maxDelayMillis,
				Math.max(this.initialDelayMillis, this.baseDelayMillis * 2));
		return this.baseDelayMillis / 2 + (long) (this.baseDelayMillis * jitterRatio);
	}

	/**
	 * Records a success, after which the next delay is an initial one again.
	 */
	public void reset() {
		this.baseDelayMillis = 0;
	}

}
