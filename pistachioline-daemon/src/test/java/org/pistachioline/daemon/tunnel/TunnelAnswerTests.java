package org.pistachioline.daemon.tunnel;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.pistachioline.adapters.web.AnswerLimits;
import org.pistachioline.adapters.web.Connector;
import org.pistachioline.adapters.web.DirectConnector;
import org.pistachioline.adapters.web.HeaderFields;
import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.adapters.web.WebClient;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.adapters.web.WebRequest;
import org.pistachioline.core.reachability.TargetReachability;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests answers that come through a tunnel, which ends with its only exchange.
 */
@Timeout(60)
class TunnelAnswerTests {

	private final WebLoop loop = new WebLoop("test");

	private final Connector direct = new DirectConnector(this.loop, 1_000);

	private final TunnelServer server = new TunnelServer(this.loop, "127.0.0.1:0", this.direct, (address) -> true,
			new TargetReachability());

	private final TunnelClient tunnels = new TunnelClient(this.loop, this.direct);

	private final WebClient client = new WebClient(this.loop,
			(address) -> this.tunnels.open(this.server.localAddress(), address), 60_000, 2);

	private ServerSocket target;

	@BeforeEach
	void listen() throws IOException {
		this.server.start();
		this.target = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
	}

	@AfterEach
	void close() throws IOException {
		this.target.close();
		this.server.stop();
		this.loop.close();
	}

	private CompletableFuture<WebAnswer> call() {
		return this.client.call("127.0.0.1:" + this.target.getLocalPort(),
				WebRequest.get("/report", HeaderFields.of("Host", "shop")), false, new AnswerLimits(20_000, 1_024));
	}

	private static void answer(Socket connection, String body) throws IOException {
		answerWith(connection, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
	}

	private static void answerWith(Socket connection, String answer) throws IOException {
		final StringBuilder request = new StringBuilder();
		while (request.indexOf("\r\n\r\n") < 0) {
			request.append((char) connection.getInputStream().read());
		}
		connection.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
	}

	// Guards against bytes of one exchange that reach the next one through a tunnel.
	@Test
	void aTunnelEndsWithItsAnswerAndTheNextRequestGetsAnother() throws IOException {
		final CompletableFuture<WebAnswer> first = call();
		try (Socket connection = this.target.accept()) {
			answer(connection, "first");
			assertThat(first.join().body().text()).isEqualTo("first");
			awaitClosed(connection);
		}
		final CompletableFuture<WebAnswer> second = call();
		try (Socket connection = this.target.accept()) {
			answer(connection, "second");
			assertThat(second.join().body().text()).isEqualTo("second");
		}
		assertThat(this.server.establishedTunnels()).isEqualTo(2);
	}

	// Guards against a broken answer that is taken since it comes by way of another
	// daemon.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK\r\nContent-Length: 5", "HTTP/1.1 600 OK\r\nContent-Length: 5",
			"HTTP/1.1 200 OK\r\nContent-Length x: 3", "HTTP/1.1 200 OK\r\nX-A b: 1\r\nContent-Length: 5",
			"HTTP/1.1 200 OK\r\nX\u0001A: 1\r\nContent-Length: 5" })
	void aBrokenAnswerThroughATunnelIsNotTaken(String head) throws IOException {
		final CompletableFuture<WebAnswer> answer = call();
		try (Socket connection = this.target.accept()) {
			answerWith(connection, head + "\r\n\r\nwrong");
			assertThatExceptionOfType(CompletionException.class).isThrownBy(answer::join)
				.withCauseInstanceOf(IOException.class);
			awaitClosed(connection);
		}
	}

	private static void awaitClosed(Socket connection) {
		try {
			while (connection.getInputStream().read() >= 0) {
				// Nothing follows the request.
			}
		}
		catch (IOException ex) {
			// The connection was reset.
		}
	}

}
