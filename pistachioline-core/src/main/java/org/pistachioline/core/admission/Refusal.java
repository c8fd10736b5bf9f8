package org.pistachioline.core.admission;

import org.pistachioline.core.error.ErrorKind;

/**
 * A refusal of a request.
 *
 * @param kind the error kind
 * @param retryAfterMillis the time after which the caller may retry; 0 where it is not
 * stated
 */
public record Refusal(ErrorKind kind, long retryAfterMillis) {

	private static final long JITTER_STEPS = 16;

	/**
	 * Refuses a request with a retry time that depends on the request's id, so that
	 * callers that are refused together do not all retry together.
	 * @param kind the error kind
	 * @param requestId the request
	 * @param millis the shortest retry time, in milliseconds
	 * @param maxMillis the bound on the retry time, in milliseconds
	 * @return the refusal
	 */
	public static Refusal withJitter(ErrorKind kind, long requestId, double millis, long maxMillis) {
		final double factor = 1 + (double) (requestId % JITTER_STEPS) / JITTER_STEPS;
		return new Refusal(kind, Math.min(maxMillis, Math.round(millis * factor)));
	}

}
