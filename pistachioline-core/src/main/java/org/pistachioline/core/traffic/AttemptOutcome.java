package org.pistachioline.core.traffic;

/**
 * How an attempt ended.
 */
public enum AttemptOutcome {

	/** The answer came in full. */
	COMPLETE,

	/** No connection was made, so no byte was sent. */
	NOT_CONNECTED,

	/** The target refused the attempt before running it. */
	REFUSED,

	/** The target said that it has not run the attempt and never will. */
	DECLINED,

	/** The target ran the attempt and answered with a failure of its own. */
	FAILURE_ANSWERED,

	/** The connection broke or the target failed after bytes were sent. */
	BROKEN,

	/** The answer did not match the attempt. */
	MISMATCHED,

	/** The attempt was cancelled by this daemon. */
	CANCELLED,

	/** It was not sent: the target wanted nothing any more when its turn came. */
	WITHHELD

}
