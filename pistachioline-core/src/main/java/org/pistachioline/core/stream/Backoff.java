package org.pistachioline.core.stream;

/**
 * Spaces repeated tries: each wait doubles up to a limit and is spread by jitter.
 * <p>
 * Made for an outage of the log that hits all daemons at once. Without growth 370 daemons
 * would keep up hundreds of failing calls a second; without jitter they would all come
 * back in the same moment and press the log down again. A wait lies between a half and
 * one and a half times the current step; the longest step keeps the return to a log that
 * works again within a few seconds.
 */
public final class Backoff {

	private final long initialDelayMillis;

	private final long maxDelayMillis;

	private long baseDelayMillis;

	/**
	 * Creates a back-off with no failure yet.
	 * @param firstMillis the first step
	 * @param longestMillis the longest step
	 */
	public Backoff(long firstMillis, long longestMillis) {
		this.initialDelayMillis = firstMillis;
		this.maxDelayMillis = longestMillis;
	}

	/**
	 * Notes a failure and returns how long to wait.
	 * @param jitterRatio a random number from 0 to 1
	 * @return the wait
	 */
	public long nextDelayMillis(double jitterRatio) {
		this.baseDelayMillis = Math.min(this.maxDelayMillis,
				Math.max(this.initialDelayMillis, this.baseDelayMillis * 2));
		return this.baseDelayMillis / 2 + (long) (this.baseDelayMillis * jitterRatio);
	}

	/**
	 * Notes a success.
	 */
	public void reset() {
		this.baseDelayMillis = 0;
	}

}
