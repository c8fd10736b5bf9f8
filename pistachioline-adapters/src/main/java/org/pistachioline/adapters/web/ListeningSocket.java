package org.pistachioline.adapters.web;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;

/**
 * A port that may be opened before anybody serves it.
 * <p>
 * A process needs seconds on a small machine from its start until it can answer. Were its
 * port closed meanwhile, callers who come after a restart of all daemons would be refused
 * within a millisecond, one daemon after the other, and have no retry left when the first
 * of them serves. On an open port they wait in the system's queue.
 */
public final class ListeningSocket {

	/**
	 * Connections that wait to be accepted; a burst of callers brings hundreds at once.
	 */
	private static final int BACKLOG = 1_024;

	private final InetSocketAddress address;

	private ServerSocketChannel channel;

	private ListeningSocket(InetSocketAddress address) {
		this.address = address;
	}

	/**
	 * Names an address; its port stays closed.
	 * @param address the address, as host and port
	 * @return the socket
	 */
	public static ListeningSocket at(String address) {
		final int colon = address.lastIndexOf(':');
		return new ListeningSocket(
				new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
	}

	/**
	 * Opens the port, if it is not open yet.
	 * @return the open channel
	 * @throws UncheckedIOException if the port cannot be opened
	 */
	public synchronized ServerSocketChannel open() {
		if (this.channel == null) {
			try {
				final ServerSocketChannel opened = ServerSocketChannel.open();
				opened.bind(this.address, BACKLOG);
				this.channel = opened;
			}
			catch (IOException ex) {
				throw new UncheckedIOException("Cannot listen on " + this.address, ex);
			}
		}
		return this.channel;
	}

}
