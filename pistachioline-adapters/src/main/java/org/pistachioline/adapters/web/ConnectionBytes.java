package org.pistachioline.adapters.web;

import java.util.Collection;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * Bytes that are held in memory for one caller: the body that is being read, the requests
 * that are not answered, and the answers that the caller has not taken. Their sum counts
 * towards what a server holds for all callers.
 */
final class ConnectionBytes {

	private final HeldBytes held;

	private final BodyCollector body;

	private final Collection<ArrivedRequest> waiting;

	private long currentBytes;

	private long countedBytes;

	/**
	 * Creates a count of zero.
	 * @param held counts what is held for all callers
	 * @param body the body that is being read
	 * @param waiting the requests that wait for their turn
	 */
	ConnectionBytes(HeldBytes held, BodyCollector body, Collection<ArrivedRequest> waiting) {
		this.held = held;
		this.body = body;
		this.waiting = waiting;
	}

	/**
	 * Sets what is held for the request that is answered. It is counted next time.
	 * @param bytes the number of bytes
	 */
	void setCurrent(long bytes) {
		this.currentBytes = bytes;
	}

	/**
	 * Adds to what is held for the request that is answered. It is counted next time.
	 * @param bytes the number of bytes
	 */
	void addToCurrent(int bytes) {
		this.currentBytes += bytes;
	}

	/**
	 * Counts what is held now. What a caller has not taken shrinks without a notice, so
	 * this must also be called from time to time.
	 * @param channel the connection
	 */
	void count(Channel channel) {
		long now = this.body.capacityBytes() + this.currentBytes;
		for (final ArrivedRequest arrived : this.waiting) {
			now += arrived.bodyBytes();
		}
		final ChannelOutboundBuffer untaken = channel.unsafe().outboundBuffer();
		now += (untaken != null) ? untaken.totalPendingWriteBytes() : 0;
		this.held.add(now - this.countedBytes);
		this.countedBytes = now;
	}

	/**
	 * Returns whether no more bytes may be held for any caller.
	 * @return whether the server's memory for callers is used up
	 */
	boolean isServerFull() {
		return this.held.full();
	}

}
