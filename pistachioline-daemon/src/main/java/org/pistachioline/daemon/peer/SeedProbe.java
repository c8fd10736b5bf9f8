package org.pistachioline.daemon.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

import org.pistachioline.core.event.EventId;
import org.pistachioline.daemon.event.Events;

/**
 * Finds out at the start of a process whether other daemons live, before anything is
 * there that could speak with them: whether one of the seeds accepts a connection.
 * <p>
 * It begins without waiting and is asked later, so the start is not held up by machines
 * without power, which never answer.
 */
public final class SeedProbe implements AutoCloseable {

	private final List<SocketChannel> channels = new ArrayList<>();

	private SeedProbe() {
	}

	/**
	 * Begins to connect.
	 * @param seeds addresses of daemons, as host and port
	 * @param selfAddress this daemon's own, which is left out
	 * @return the probe, to be closed
	 */
	public static SeedProbe begin(List<String> seeds, String selfAddress) {
		final SeedProbe probe = new SeedProbe();
		seeds.stream().filter((seed) -> !seed.equals(selfAddress)).forEach(probe::connect);
		return probe;
	}

	private void connect(String seed) {
		final int colon = seed.lastIndexOf(':');
		try {
			final SocketChannel channel = SocketChannel.open();
			this.channels.add(channel);
			channel.configureBlocking(false);
			channel
				.connect(new InetSocketAddress(seed.substring(0, colon), Integer.parseInt(seed.substring(colon + 1))));
		}
		catch (IOException ex) {
			note(ex);
		}
	}

	/**
	 * Returns whether a seed has accepted by now.
	 * @return whether another daemon lives
	 */
	public boolean anyAnswered() {
		boolean answered = false;
		for (final SocketChannel channel : this.channels) {
			answered |= hasConnected(channel);
		}
		return answered;
	}

	private static boolean hasConnected(SocketChannel channel) {
		try {
			return channel.isConnected() || (channel.isConnectionPending() && channel.finishConnect());
		}
		catch (IOException ex) {
			note(ex);
			return false;
		}
	}

	@Override
	public void close() {
		for (final SocketChannel channel : this.channels) {
			try {
				channel.close();
			}
			catch (IOException ex) {
				note(ex);
			}
		}
	}

	private static void note(IOException ex) {
		Events.log(EventId.SEED_SILENT, ex);
	}

}
