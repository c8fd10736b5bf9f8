package org.pistachioline.adapters.web;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: a loop that runs late while callers wait.
 */
class DepartedCallerTests {

	/**
	 * A daemon is busy for more than a second. Meanwhile a caller sends a request, gives
	 * up and leaves. When the daemon comes to read, request and leaving both wait for it;
	 * were the request handed on before the leaving is seen, a target would work for
	 * nobody.
	 */
	@Test
	@Timeout(60)
	void theLeavingOfACallerIsSeenBeforeItsRequestGoesOn() throws IOException {
		try (WebLoop loop = new WebLoop("test")) {
			final Queue<String> handled = new ConcurrentLinkedQueue<>();
			final WebServer server = new WebServer(loop, "127.0.0.1:0", (request, reply) -> {
				handled.add(request.path());
				reply.whole(WebAnswer.text(200, "done"));
			}, () -> RequestLimits.DEFAULT);
			server.start();
			final CountDownLatch busy = new CountDownLatch(1);
			loop.execute(() -> await(busy));
			call(server, "/left").close();
			busy.countDown();
			try (Socket last = call(server, "/last")) {
				assertThat(last.getInputStream().read()).isEqualTo('H');
			}
			assertThat(handled).containsExactly("/last");
			server.stop();
		}
	}

	private static Socket call(WebServer server, String path) throws IOException {
		final String[] address = server.localAddress().split(":");
		final Socket caller = new Socket(address[0], Integer.parseInt(address[1]));
		caller.getOutputStream()
			.write(("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
		return caller;
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
