package org.pistachioline.core.traffic;

/**
 * What came of a claim on the log.
 */
public enum ClaimVerdict {

	/** The claim is ours: the request may be dispatched. */
	GRANTED,

	/** Another request holds the key and runs. */
	IN_PROGRESS,

	/** The key's outcome is stored. */
	SETTLED,

	/** The key's request may have run; nothing more is known. */
	UNKNOWN,

	/** The key was used with another request. */
	REUSED,

	/** The key's lifetime has passed. */
	EXPIRED,

	/** No claim could be made. */
	UNAVAILABLE,

	/**
	 * Claims may be missing here, so that the key may have run unknown to this daemon.
	 */
	LIMBO

}
