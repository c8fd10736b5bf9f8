package org.pistachioline.core.retry;

/**
 * What follows a failed attempt.
 */
public enum RetryDecision {

	/** Another attempt is made. */
	RETRY,

	/** The request ends with a failure. */
	GIVE_UP

}
