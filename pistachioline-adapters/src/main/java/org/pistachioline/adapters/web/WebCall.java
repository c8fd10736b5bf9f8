package org.pistachioline.adapters.web;

/**
 * A request on a connection that it has to itself. Its methods are called on the loop's
 * thread.
 */
public interface WebCall {

	/**
	 * Closes the connection at once, which makes the other side drop the work. The
	 * receiver hears nothing more.
	 */
	void abort();

	/**
	 * Says whether the answer is read on; unread bytes stay with the sender.
	 * @param wanted whether more can be taken
	 */
	void reading(boolean wanted);

	/**
	 * Returns how the request's connection was used before it.
	 * @return the use at the time at which the request was handed over
	 */
	ConnectionUse connection();

}
