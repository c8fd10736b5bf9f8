package org.pistachioline.core.retry;

/**
 * Whether a request whose attempt failed is attempted again.
 */
public enum RetryDecision {

	/** Another attempt is made. */
	RETRY,

	/** The request fails. */
	GIVE_UP

}
