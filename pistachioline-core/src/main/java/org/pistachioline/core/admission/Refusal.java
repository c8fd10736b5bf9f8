package org.pistachioline.core.admission;

import org.pistachioline.core.error.ErrorKind;

/**
 * A refusal, and when to come back.
 *
 * @param kind the error kind
 * @param retryAfterMillis when the caller may come back; 0 where it is not said
 */
public record Refusal(ErrorKind kind, long retryAfterMillis) {

	private static final long JITTER_STEPS = 16;

	/**
	 * Refuses one of many requests, such that callers who are refused together do not all
	 * come back together.
	 * @param kind why
	 * @param requestId the request
	 * @param millis when the first of them may come back
	 * @param mostMillis the most that any of them is told
	 * @return the refusal
	 */
	public static Refusal withJitter(ErrorKind kind, long requestId, double millis, long mostMillis) {
		final double factor = 1 + (double) (requestId % JITTER_STEPS) / JITTER_STEPS;
		return new Refusal(kind, Math.min(mostMillis, Math.round(millis * factor)));
	}

}
