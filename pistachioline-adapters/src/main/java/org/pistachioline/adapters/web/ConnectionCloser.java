package org.pistachioline.adapters.web;

import java.util.Queue;

/**
 * Decides when a connection is closed and reports the requests that its end leaves
 * without an answer.
 */
final class ConnectionCloser {

	private final ServerConnection connection;

	private final WebHandler handler;

	private final Queue<ArrivedRequest> waiting;

	private boolean finishing;

	/**
	 * Creates a closer.
	 * @param connection the connection
	 * @param handler receives the reports
	 * @param waiting the requests that wait for their turn
	 */
	ConnectionCloser(ServerConnection connection, WebHandler handler, Queue<ArrivedRequest> waiting) {
		this.connection = connection;
		this.handler = handler;
		this.waiting = waiting;
	}

	/**
	 * Closes the connection as soon as every request that was read on it is answered.
	 */
	void finish() {
		this.finishing = true;
		closeIfIdle();
	}

	/**
	 * Closes the connection behind an answer, if it is to be finished.
	 */
	void onAnswered() {
		if (this.finishing) {
			closeIfIdle();
		}
	}

	/**
	 * Closes the connection unless it has a request. On a loop that runs late one may
	 * have arrived that was not read yet.
	 */
	void closeIfIdle() {
		if (!this.connection.isIdle()) {
			return;
		}
		this.connection.readArrived();
		if (this.connection.isIdle()) {
			this.connection.close();
		}
	}

	/**
	 * Closes the connection whatever is on it.
	 * @param cause why
	 * @param current the answer that is being written; null if there is none
	 */
	void close(CloseCause cause, ServerReply current) {
		if (this.connection.isActive()) {
			reportUnanswered(cause, current);
		}
		this.connection.close();
	}

	private void reportUnanswered(CloseCause cause, ServerReply current) {
		// Behind an answer that announced the connection's end, no answer is due.
		if (current == null || !current.isOver()) {
			this.waiting.stream()
				.filter((arrived) -> arrived.request() != null)
				.forEach((arrived) -> this.handler.onUnhandled(arrived.request(), cause));
		}
		this.waiting.clear();
		if (current != null) {
			current.onClosing(cause);
		}
	}

}
