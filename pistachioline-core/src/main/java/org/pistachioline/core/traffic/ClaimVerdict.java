package org.pistachioline.core.traffic;

/**
 * The result of an attempt to claim an idempotency key on the log.
 */
public enum ClaimVerdict {

	/** The claim was granted to this request, which may be dispatched. */
	GRANTED,

	/** Another request holds the key and is running. */
	IN_PROGRESS,

	/** The outcome of the key's first request is stored. */
	SETTLED,

	/** The key's first request may have run; its outcome is not known. */
	UNKNOWN,

	/** The key was used before with a different request. */
	REUSED,

	/** The key's lifetime has passed. */
	EXPIRED,

	/** The claim could not be made. */
	UNAVAILABLE,

	/**
	 * Claim records may be missing from this daemon's state, so a request with this key
	 * may have run without this daemon knowing.
	 */
	LIMBO

}
