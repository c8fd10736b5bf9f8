package org.pistachioline.adapters.web;

/**
 * Is notified of what happens on the connections of a {@link WebClient} besides the
 * answers to its requests, on the loop's thread.
 */
public interface ClientListener {

	/** Ignores everything. */
	ClientListener NONE = new ClientListener() {
	};

	/**
	 * Called when a server sent bytes while no request was waiting on their connection,
	 * which is closed.
	 * @param answer what was received
	 */
	default void onUnexpected(UnexpectedAnswer answer) {
	}

	/**
	 * Called when an idle connection to a server has carried the id of the request that
	 * is about to be sent there.
	 * @param address the server's address, as host and port
	 * @param requestId the id
	 * @param connection how that connection was used until then
	 */
	default void onRepeatedId(String address, String requestId, ConnectionUse connection) {
	}

}
