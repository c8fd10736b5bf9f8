package org.pistachioline.daemon.peer;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Further addresses of daemons whose open connections can be made silent: they stay open,
 * and nothing arrives on them any more, not even their end. New ones work.
 */
final class SilentPaths implements AutoCloseable {

	private final Map<String, String> addresses = new ConcurrentHashMap<>();

	private final List<Closeable> opened = new CopyOnWriteArrayList<>();

	private final ExecutorService threads = Executors.newCachedThreadPool();

	/** The daemons' own addresses that were reached since the last silence began. */
	private final Set<String> reached = ConcurrentHashMap.newKeySet();

	private volatile int silences;

	/**
	 * Returns the further address of a daemon, which is opened at the first call.
	 * @param address the daemon's own address, as host and port
	 * @return the further address
	 */
	String to(String address) {
		return this.addresses.computeIfAbsent(address, this::open);
	}

	/**
	 * Makes all open connections silent.
	 */
	synchronized void silence() {
		this.silences++;
		this.reached.clear();
	}

	/**
	 * Returns whether anything has arrived at a daemon, over a connection that was opened
	 * after the last silence began.
	 * @param address the daemon's own address
	 * @return whether it was reached
	 */
	boolean isReachedAgain(String address) {
		return this.reached.contains(address);
	}

	private String open(String address) {
		try {
			final ServerSocket server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
			this.opened.add(server);
			this.threads.execute(() -> accept(server, address));
			return "127.0.0.1:" + server.getLocalPort();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void accept(ServerSocket server, String address) {
		try {
			while (!server.isClosed()) {
				final Socket from = server.accept();
				this.opened.add(from);
				final Socket to = new Socket("127.0.0.1",
						Integer.parseInt(address.substring(address.indexOf(':') + 1)));
				this.opened.add(to);
				final int openedIn = this.silences;
				this.threads.execute(() -> forward(from, to, address, openedIn));
			}
		}
		catch (IOException ex) {
			// The test has ended.
			return;
		}
	}

	// Daemons send in one direction of a connection only.
	private void forward(Socket from, Socket to, String address, int openedIn) {
		try (InputStream in = from.getInputStream(); OutputStream out = to.getOutputStream()) {
			final byte[] buffer = new byte[8_192];
			int count = in.read(buffer);
			while (count >= 0) {
				if (this.silences == openedIn) {
					out.write(buffer, 0, count);
					noteReached(address, openedIn);
				}
				count = in.read(buffer);
			}
		}
		catch (IOException ex) {
			// One side has closed the connection, which ends the other side, too.
			return;
		}
	}

	// A silence may begin meanwhile, which forgets what was reached before.
	private synchronized void noteReached(String address, int openedIn) {
		if (this.silences == openedIn) {
			this.reached.add(address);
		}
	}

	@Override
	public void close() throws IOException {
		for (final Closeable each : this.opened) {
			each.close();
		}
		this.threads.shutdownNow();
	}

}
