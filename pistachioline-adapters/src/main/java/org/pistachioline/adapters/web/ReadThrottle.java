package org.pistachioline.adapters.web;

import java.util.Collection;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;

/**
 * Stops reading from a connection while enough of its requests wait, and lets other
 * connections be read between the pieces of a body.
 * <p>
 * Small pieces take far more time than their bytes. A body of very many would keep the
 * loop from all other connections.
 */
final class ReadThrottle {

	/** Requests that may wait behind the one that is answered before reading stops. */
	private static final int MAX_WAITING = 1;

	/** Requests that may wait in all, as one read can bring many; the next is refused. */
	private static final int MAX_WAITING_OF_ONE_READ = 128;

	private final int maxPiecesInTurn;

	private final Collection<ArrivedRequest> waiting;

	private int piecesInTurn;

	private boolean awaitsTurn;

	/**
	 * Creates a throttle.
	 * @param maxPiecesInTurn pieces of a body that are read before all other connections
	 * are
	 * @param waiting the requests that wait for their turn
	 */
	ReadThrottle(int maxPiecesInTurn, Collection<ArrivedRequest> waiting) {
		this.maxPiecesInTurn = maxPiecesInTurn;
		this.waiting = waiting;
	}

	/**
	 * Returns whether another request may wait.
	 * @return whether it need not be refused
	 */
	boolean mayWait() {
		return this.waiting.size() < MAX_WAITING_OF_ONE_READ;
	}

	/**
	 * Reads or stops reading, after the number of waiting requests has changed.
	 * @param channel the connection
	 */
	void update(Channel channel) {
		channel.config().setAutoRead(!this.awaitsTurn && this.waiting.size() <= MAX_WAITING);
	}

	/**
	 * Counts a piece of a body.
	 * @param channel the connection
	 */
	void onPiece(Channel channel) {
		this.piecesInTurn++;
		if (this.piecesInTurn >= this.maxPiecesInTurn && !this.awaitsTurn) {
			awaitNextTurn(channel);
		}
	}

	private void awaitNextTurn(Channel channel) {
		this.awaitsTurn = true;
		update(channel);
		// A scheduled task waits for the loop's next turn, unlike one that is executed.
		channel.eventLoop().schedule(() -> {
			this.awaitsTurn = false;
			this.piecesInTurn = 0;
			update(channel);
		}, 0, TimeUnit.NANOSECONDS);
	}

	/**
	 * Ends the turn, if the connection was read to its end.
	 */
	void onReadComplete() {
		if (!this.awaitsTurn) {
			this.piecesInTurn = 0;
		}
	}

}
