package org.pistachioline.daemon.relay;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A target that answers each request with the bytes that a test has written down.
 */
final class ScriptedTarget {

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final AtomicInteger requests = new AtomicInteger();

	private final AtomicInteger connections = new AtomicInteger();

	private volatile List<Ending> endings = List.of();

	private ServerSocket listener;

	void start() throws IOException {
		this.listener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
		this.threads.execute(this::accept);
	}

	void stop() {
		try {
			this.listener.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.threads.shutdownNow();
	}

	/**
	 * Sets what is answered to the requests, in their order.
	 * @param newEndings the answers
	 */
	void script(Ending... newEndings) {
		this.endings = List.of(newEndings);
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	int requests() {
		return this.requests.get();
	}

	int connections() {
		return this.connections.get();
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				final Socket connection = this.listener.accept();
				this.threads.execute(() -> serve(connection));
			}
			catch (IOException ex) {
				// The test is over.
				return;
			}
		}
	}

	private void serve(Socket connection) {
		boolean counted = false;
		try (connection) {
			boolean kept = true;
			while (kept && readRequest(connection)) {
				if (!counted) {
					counted = true;
					this.connections.incrementAndGet();
				}
				final Ending ending = this.endings.get(this.requests.getAndIncrement());
				connection.getOutputStream().write(ending.bytes().getBytes(StandardCharsets.ISO_8859_1));
				connection.setSoLinger(ending.reset(), 0);
				kept = ending.kept();
			}
		}
		catch (IOException ex) {
			// The other side has reset the connection.
			return;
		}
	}

	// Returns false if the connection ended without a request.
	private static boolean readRequest(Socket connection) throws IOException {
		final StringBuilder request = new StringBuilder();
		while (request.indexOf("\r\n\r\n") < 0) {
			final int next = connection.getInputStream().read();
			if (next < 0) {
				return false;
			}
			request.append((char) next);
		}
		return true;
	}

	/**
	 * What is sent for one request, and what becomes of the connection.
	 *
	 * @param bytes the bytes
	 * @param reset whether the connection is reset instead of closed in order
	 * @param kept whether it stays open for a further request
	 */
	record Ending(String bytes, boolean reset, boolean kept) {

		Ending(String bytes, boolean reset) {
			this(bytes, reset, false);
		}

		static Ending kept(String bytes) {
			return new Ending(bytes, false, true);
		}

	}

}
