package org.pistachioline.adapters.web;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: callers who come while a daemon starts.
 */
class ListeningSocketTests {

	private static final int OK = 200;

	/**
	 * All daemons were killed and start again. A caller connects and sends its request
	 * while its daemon loads its classes; were the port closed, the caller would be
	 * refused and tell its user that nobody is there.
	 */
	@Test
	void aCallerWhoComesBeforeTheServerIsServedByIt() throws IOException {
		final ListeningSocket socket = ListeningSocket.at("127.0.0.1:0");
		final InetSocketAddress address = (InetSocketAddress) socket.open().getLocalAddress();
		try (Socket early = new Socket(address.getAddress(), address.getPort()); WebLoop loop = new WebLoop("test")) {
			early.getOutputStream()
				.write("GET /early HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
					.getBytes(StandardCharsets.US_ASCII));
			final WebServer server = new WebServer(loop, socket,
					(request, reply) -> reply.whole(WebAnswer.json(OK, '"' + request.path() + '"')),
					() -> RequestLimits.DEFAULT);
			server.start();
			final String answer = new String(early.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
			assertThat(answer).startsWith("HTTP/1.1 200").endsWith("\"/early\"");
			server.stop();
		}
	}

	@Test
	void aPortIsOpenedOnce() throws IOException {
		final ListeningSocket socket = ListeningSocket.at("127.0.0.1:0");
		try (var channel = socket.open()) {
			assertThat(socket.open()).isSameAs(channel);
		}
	}

}
