package org.pistachioline.adapters.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * The product's own client before a server that stops in an answer and closes.
 */
@Timeout(60)
class CutAnswerCallerTests {

	/** Only a test that fails waits for so long. */
	private static final long TIMEOUT_MILLIS = 10_000;

	private final ActorSystem<Void> system = ActorSystems.create("cut-answer-test");

	private final HttpCaller caller = new HttpCaller(this.system);

	private ServerSocket server;

	@BeforeEach
	void listen() throws IOException {
		this.server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
	}

	@AfterEach
	void close() throws IOException {
		this.server.close();
		this.system.terminate();
	}

	private static Stream<Arguments> cuts() {
		return Stream
			.of("", "HTTP/1.1 200", "HTTP/1.1 200 OK\r", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nSer",
					"HTTP/1.1 200 OK\r\nServer: a", "HTTP/1.1 200 OK\r\nServer: a\r\n",
					"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r",
					"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfir",
					"HTTP/1.1 103 Early Hints\r\nLink: a", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
					"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5",
					"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n")
			.flatMap((text) -> Stream.of(Arguments.of(text, false), Arguments.of(text, true)));
	}

	// Guards against a success that is made of a part of an answer's head or body.
	@ParameterizedTest
	@MethodSource("cuts")
	void anAnswerThatIsClosedBeforeItsEndFails(String cut, boolean reset) throws IOException {
		assertFails(call(), cut, reset);
	}

	// Guards against a reset that is taken for the end of an answer without a length.
	@Test
	void anAnswerWithoutALengthIsNotWholeWhenItsConnectionIsReset() throws IOException {
		assertFails(call(), "HTTP/1.1 200 OK\r\nServer: a\r\n\r\nsome", true);
	}

	@Test
	void anAnswerWithoutALengthEndsWithItsConnection() throws IOException {
		final CompletableFuture<HttpAnswer> call = call();
		answer("HTTP/1.1 200 OK\r\nServer: a\r\n\r\nsome", false);
		assertThat(call.join().status()).isEqualTo(200);
		assertThat(new String(call.join().bodyBytes(), StandardCharsets.US_ASCII)).isEqualTo("some");
	}

	private void assertFails(CompletableFuture<HttpAnswer> call, String cut, boolean reset) throws IOException {
		answer(cut, reset);
		assertThatExceptionOfType(CompletionException.class).isThrownBy(call::join)
			.satisfies((ex) -> assertThat(ex.getCause()).isNotInstanceOf(TimeoutException.class));
	}

	private void answer(String bytes, boolean reset) throws IOException {
		try (Socket connection = this.server.accept()) {
			final StringBuilder request = new StringBuilder();
			while (request.indexOf("\r\n\r\n") < 0) {
				final int next = connection.getInputStream().read();
				assertThat(next).isNotNegative();
				request.append((char) next);
			}
			connection.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
			connection.setSoLinger(reset, 0);
		}
	}

	// A request that the client does not repeat by itself.
	private CompletableFuture<HttpAnswer> call() {
		return this.caller.call(HttpRequest.POST("http://127.0.0.1:" + this.server.getLocalPort() + "/copy"),
				TIMEOUT_MILLIS, HttpCaller.SHORT_ANSWER_BYTES);
	}

}
