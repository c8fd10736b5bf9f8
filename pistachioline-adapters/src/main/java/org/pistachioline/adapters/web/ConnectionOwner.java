package org.pistachioline.adapters.web;

/**
 * Is notified by a connection of what happens between its requests.
 */
interface ConnectionOwner {

	/**
	 * Called when the connection can carry another request.
	 * @param connection the connection
	 */
	void onIdle(ClientConnection connection);

	/**
	 * Called when bytes were received while no request was waiting for them; the
	 * connection is closed.
	 * @param answer what was received
	 */
	default void onUnexpected(UnexpectedAnswer answer) {
	}

	/**
	 * Called when a head was made of the heads of two answers; the request fails.
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

}
