package org.pistachioline.adapters.web;

/**
 * Answers the requests of a server's connections, on the loop's thread.
 */
public interface WebHandler {

	/**
	 * Takes a request. Requests of one connection come one after the other, each after
	 * the answer to the one before.
	 * @param request the request
	 * @param reply takes the answer, now or later
	 */
	void handle(WebRequest request, WebReply reply);

	/**
	 * Answers what was no request, or one over a limit; the connection closes afterwards.
	 * @param fault what was wrong
	 * @param headers the header fields; empty if the head was not read
	 * @return the answer
	 */
	default WebAnswer onFault(RequestFault fault, HeaderFields headers) {
		return WebAnswer.empty(fault.status());
	}

	/**
	 * Called for a request that was read but not handled before this process closes its
	 * connection.
	 * @param request the request
	 * @param cause why it closes the connection
	 */
	default void onUnhandled(WebRequest request, CloseCause cause) {
		// Servers for operators and other daemons keep no record of it.
	}

}
