package org.pistachioline.adapters.web;

import java.util.concurrent.CompletableFuture;

/**
 * Opens connections for a {@link WebClient}.
 */
public interface Connector {

	/**
	 * Opens a connection. Called on the loop's thread.
	 * @param address where to, as host and port
	 * @return the connection, completed on the loop's thread; fails with the cause if
	 * none was established. A caller that no longer needs the connection cancels the
	 * future
	 */
	CompletableFuture<OpenedConnection> connect(String address);

	/**
	 * Returns whether idle connections to an address may carry another request.
	 * @param address the address, as host and port
	 * @return false if they may have failed without notice
	 */
	default boolean mayReuse(String address) {
		return true;
	}

}
