package org.pistachioline.core.overload;

/**
 * Decides which requests a daemon refuses at once while its event loop runs late.
 * <p>
 * Accepted anyway, such a request would use processor time and a target's slot for a
 * caller that has left by then, and would make the loop later for all others.
 */
public final class LateLoopPolicy {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** A loop that is less late than this is on time: such a delay spoils no request. */
	public static final long ON_TIME_MILLIS = 100;

	/** The same time, in nanoseconds. */
	public static final long ON_TIME_NANOS = ON_TIME_MILLIS * NANOS_PER_MILLI;

	/**
	 * Turns of the loop between the acceptance of a request and its answer: to send it,
	 * to read the target's response, and to pass it on.
	 */
	private static final int REMAINING_TURNS = 3;

	private LateLoopPolicy() {
	}

	/**
	 * Returns whether a request is to be refused, since it could not be served in time.
	 * @param waitedNanos how long it has waited on its connection, as far as is known, in
	 * nanoseconds
	 * @param lagNanos how late the loop runs, in nanoseconds
	 * @param budgetNanos how long it may wait in this daemon in all, in nanoseconds
	 * @return whether it is to be refused
	 */
	public static boolean refuses(long waitedNanos, long lagNanos, long budgetNanos) {
		// Each further turn takes about as long as the one that the request waited for.
		final long turnNanos = Math.max(waitedNanos, lagNanos);
		return lagNanos >= ON_TIME_NANOS && waitedNanos + REMAINING_TURNS * turnNanos > budgetNanos;
	}

	/**
	 * Returns after which delay a refused caller may return: the loop needs about its lag
	 * to work off what it has accepted.
	 * @param lagNanos how late the loop runs
	 * @param draw a random number from 0 (inclusive) to 1 (exclusive), so that callers
	 * that are refused together do not return together
	 * @return the delay, in milliseconds
	 */
	public static long retryAfterMillis(long lagNanos, double draw) {
		final long lagMillis = Math.max(ON_TIME_NANOS, lagNanos) / NANOS_PER_MILLI;
		return lagMillis + (long) (draw * REMAINING_TURNS * lagMillis);
	}

}
