package org.pistachioline.daemon.port;

/**
 * What the head of a target's answer is worth.
 */
public enum ResponseVerdict {

	/** It is the target's own answer to this request and goes to the caller as it is. */
	VALID,

	/** The target ran the request and failed. */
	FAILURE,

	/** The target says that it has not run the request and will not. */
	DECLINED,

	/** It is not an answer to this request, or cannot be shown to be one. */
	MISMATCHED

}
