package org.pistachioline.core.traffic;

/**
 * What shows that a new request ends before a leaving daemon does.
 */
public enum DrainAcceptance {

	/**
	 * Its deadline, its limit of output, or the longest time that requests like it took
	 * lately.
	 */
	ESTIMATE,

	/** Its deadline, or its limit of output at the slowest pace of its model lately. */
	OUTPUT_LIMIT,

	/** Its deadline. */
	DEADLINE,

	/** Nothing: no request is accepted any more. */
	NOTHING

}
