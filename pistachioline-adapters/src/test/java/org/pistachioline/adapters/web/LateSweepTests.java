package org.pistachioline.adapters.web;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: a loop that stands still while it looks for idle connections, over real ones.
 */
class LateSweepTests {

	private static final RequestLimits NO_IDLE_TIME = new RequestLimits(1_000, 5_000, 100, 5_000, 0);

	private final CountDownLatch sweeping = new CountDownLatch(1);

	private final CountDownLatch sent = new CountDownLatch(1);

	private final AtomicBoolean holdsNext = new AtomicBoolean();

	// Guards against a whole request that has arrived and is closed unanswered, because
	// its connection is idle as far as a late loop has read.
	@Test
	@Timeout(60)
	void aRequestThatArrivedBeforeAnIdleConnectionIsClosedIsAnswered() throws Exception {
		try (WebLoop loop = new WebLoop("test")) {
			final WebServer server = new WebServer(loop, "127.0.0.1:0", (request, reply) -> {
				reply.whole(WebAnswer.text(200, request.path()));
				// The limits are asked for next when the connection is swept.
				this.holdsNext.set(request.path().equals("/first"));
			}, this::limits);
			server.start();
			final String[] address = server.localAddress().split(":");
			try (Socket caller = new Socket(address[0], Integer.parseInt(address[1]))) {
				call(caller, "/first");
				assertThat(read(caller, "/first")).endsWith("/first");
				this.sweeping.await();
				call(caller, "/second");
				this.sent.countDown();
				assertThat(read(caller, "/second")).startsWith("HTTP/1.1 200 ").endsWith("/second");
			}
			server.stop();
		}
	}

	private RequestLimits limits() {
		if (this.holdsNext.compareAndSet(true, false)) {
			this.sweeping.countDown();
			try {
				this.sent.await();
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
		return NO_IDLE_TIME;
	}

	private static void call(Socket caller, String path) throws IOException {
		caller.getOutputStream()
			.write(("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
	}

	private static String read(Socket caller, String end) throws IOException {
		final StringBuilder text = new StringBuilder();
		while (!text.toString().endsWith(end)) {
			final int next = caller.getInputStream().read();
			assertThat(next).as("a byte after %s", text).isNotNegative();
			text.append((char) next);
		}
		return text.toString();
	}

}
