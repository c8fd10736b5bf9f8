package org.pistachioline.core.traffic;

/**
 * How an attempt to run a request at a target ended.
 */
public enum AttemptOutcome {

	/** The complete response was received. */
	COMPLETE,

	/** No connection was established, so no byte was sent. */
	NOT_CONNECTED,

	/** The target refused the attempt before running it. */
	REFUSED,

	/** The target stated that it has not run the attempt and never will. */
	DECLINED,

	/** The target ran the attempt and returned an error response. */
	FAILURE_ANSWERED,

	/** The connection broke or the target failed after bytes were sent. */
	BROKEN,

	/** The response did not match the attempt. */
	MISMATCHED,

	/** This daemon cancelled the attempt. */
	CANCELLED,

	/**
	 * The attempt was never sent: by the time it was due, the target no longer accepted
	 * requests.
	 */
	WITHHELD,

	/** The request could not be written for any target, so no byte was sent. */
	UNSENDABLE

}
