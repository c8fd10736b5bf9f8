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
	 * Called when a head was made of the heads of two answers, so that its request fails
	 * with its connection.
	 * @param answer what was received
	 */
	default void onJoined(UnexpectedAnswer answer) {
	}

	/**
	 * Called when an answer breaks the grammar of HTTP; the request fails with its
	 * connection.
	 * @param answer what was received
	 */
	default void onMalformed(MalformedAnswer answer) {
	}

	/**
	 * Called once for a request for which idle connections to a server are not used,
	 * since they have carried the request's id.
	 * @param address the server's address, as host and port
	 * @param requestId the id
	 * @param connection how the first such connection was used until then
	 */
	default void onRepeatedId(String address, String requestId, ConnectionUse connection) {
	}

}
