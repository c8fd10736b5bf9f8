package org.pistachioline.daemon.tunnel;

import java.util.concurrent.CompletableFuture;

import org.pistachioline.adapters.web.OpenedConnection;

/**
 * One way to connect to a target.
 */
interface ConnectionPath {

	/**
	 * Starts to connect.
	 * @return the connection; fails if the path does not lead to the target
	 */
	CompletableFuture<OpenedConnection> open();

	/**
	 * Called if this path was the first to connect, so that its connection is used.
	 */
	void onChosen();

	/**
	 * Called if another path is tried because this one takes too long.
	 */
	default void onOverdue() {
		// Most paths draw no conclusion.
	}

}
