package org.pistachioline.daemon.relay;

/**
 * A response of a target that is kept in memory until it, or its next event, is complete.
 */
interface KeptResponse {

	/**
	 * Returns the memory that is kept now.
	 * @return the number of bytes
	 */
	long keptBytes();

	/**
	 * Returns whether the head states the length of the response.
	 * @return false if only the end of the response shows its length
	 */
	boolean hasDeclaredLength();

	/**
	 * Ends the response, since all kept responses together are too large, and frees its
	 * memory.
	 */
	void endForSum();

}
