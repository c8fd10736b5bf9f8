package org.pistachioline.daemon.port;

/**
 * The classification of a target's response by its head.
 */
public enum ResponseVerdict {

	/**
	 * The response is the target's own response to this request and is forwarded
	 * unchanged.
	 */
	VALID,

	/** The target ran the request and failed. */
	FAILURE,

	/** The target states that it has not run the request and never will. */
	DECLINED,

	/**
	 * The response belongs to another request, or cannot be proven to belong to this one.
	 */
	MISMATCHED

}
