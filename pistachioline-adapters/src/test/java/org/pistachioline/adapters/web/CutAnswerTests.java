package org.pistachioline.adapters.web;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.pistachioline.adapters.http.NotConnectedException;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The client before a server that stops at each byte of its answer and closes.
 */
@Timeout(120)
class CutAnswerTests {

	private static final String WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

	/** Only a test that fails waits for so long. */
	private static final long TIMEOUT_MILLIS = 5_000;

	private static final int MAX_ANSWER_BYTES = 64 * 1024;

	private static final int MAX_IDLE_CONNECTIONS = 2;

	private final WebLoop loop = new WebLoop("test");

	private final WebClient client = new WebClient(this.loop, 1_000, 60_000, MAX_IDLE_CONNECTIONS);

	private ServerSocket server;

	@BeforeEach
	void listen() throws IOException {
		this.server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
	}

	@AfterEach
	void close() throws IOException {
		this.server.close();
		this.loop.close();
	}

	// Guards against a success that is made of a part of an answer's head or body.
	@ParameterizedTest
	@EnumSource
	void anAnswerThatIsClosedBeforeItsEndFailsAtOnce(SampleAnswer answer) throws IOException {
		for (int cut = 0; cut < answer.leastBytes(); cut++) {
			assertThat(outcome(answer.start(cut), false, false)).as("Closed after %s", answer.start(cut))
				.isEqualTo("failed");
		}
		assertThat(outcome(answer.text(), false, false)).isEqualTo("200 " + answer.body());
	}

	// Guards against the same on a connection that has carried an answer before.
	@ParameterizedTest
	@EnumSource
	void anAnswerThatIsClosedBeforeItsEndFailsOnAKeptConnection(SampleAnswer answer) throws IOException {
		for (int cut = 0; cut < answer.leastBytes(); cut++) {
			assertThat(outcome(answer.start(cut), false, true)).as("Closed after %s", answer.start(cut))
				.isEqualTo("failed");
		}
		assertThat(outcome(answer.text(), false, true)).isEqualTo("200 " + answer.body());
	}

	// Guards against a reset that is taken for the end of an answer.
	@ParameterizedTest
	@EnumSource
	void anAnswerThatIsResetBeforeItsEndFailsAtOnce(SampleAnswer answer) throws IOException {
		for (int cut = 0; cut < answer.text().length(); cut++) {
			assertThat(outcome(answer.start(cut), true, false)).as("Reset after %s", answer.start(cut))
				.isEqualTo("failed");
			assertThat(outcome(answer.start(cut), true, true)).as("Reset, kept, after %s", answer.start(cut))
				.isEqualTo("failed");
		}
	}

	// Guards against bytes behind the start of a head that complete it.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\nServ" + WHOLE, "HTTP/1.1 200 OK\r\n" + WHOLE,
			"HTTP/1.1 200 OK\r\nContent-Length" + WHOLE, "HTTP/1.1 200 OK\r\nContent-Length: " + WHOLE,
			"HTTP/1.1 2" + WHOLE, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\u0000\u0001\u0002",
			"HTTP/1.1 200 OK\r" + WHOLE, "HTTP/1.1 200 OK\r\nServ\r\n\r\nok" })
	void aStoppedHeadWithOtherBytesBehindItFails(String bytes) throws IOException {
		assertThat(outcome(bytes, false, false)).isEqualTo("failed");
		assertThat(outcome(bytes, true, true)).isEqualTo("failed");
	}

	// Guards against heads of few bytes that take much memory.
	@Test
	void anAnswerWithThousandsOfFieldsFails() throws IOException {
		assertThat(outcome("HTTP/1.1 200 OK\r\n" + fields(4_000) + "Content-Length: 2\r\n\r\nok", false, false))
			.isEqualTo("failed");
		assertThat(outcome("HTTP/1.1 200 OK\r\n" + fields(200) + "Content-Length: 2\r\n\r\nok", false, false))
			.isEqualTo("200 ok");
	}

	// Guards against trailers of few bytes that take much memory.
	@Test
	void anAnswerWithThousandsOfTrailerFieldsFails() throws IOException {
		final String start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
		assertThat(outcome(start + fields(4_000) + "\r\n", false, false)).isEqualTo("failed");
		assertThat(outcome(start + fields(200) + "\r\n", false, false)).isEqualTo("200 ok");
	}

	private static String fields(int count) {
		return "a:\r\n".repeat(count);
	}

	// Guards against a request that waits for its deadline although its connection has
	// been closed, or can bring no answer any more.
	@ParameterizedTest
	@ValueSource(strings = { "", "x", WHOLE })
	void aSwitchOfProtocolsThatNobodyAskedForFailsAtOnce(String behind) throws IOException {
		final CompletableFuture<WebAnswer> call = call();
		try (Socket connection = this.server.accept()) {
			readRequest(connection);
			write(connection, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n" + behind);
			assertThat(describe(call)).isEqualTo("failed");
		}
	}

	// Guards against a connection that is used again after an answer that stopped, so
	// that the rest of it would belong to another request.
	@Test
	void theNextRequestGetsAnotherConnection() throws IOException {
		assertThat(outcome("HTTP/1.1 200 OK\r\nContent-Le", false, false)).isEqualTo("failed");
		final CompletableFuture<WebAnswer> next = call();
		try (Socket connection = this.server.accept()) {
			readRequest(connection);
			write(connection, WHOLE);
			assertThat(next.join().body().text()).isEqualTo("ok");
		}
	}

	private String outcome(String sent, boolean reset, boolean kept) throws IOException {
		final List<CompletableFuture<WebAnswer>> calls = new ArrayList<>();
		calls.add(call());
		try (Socket connection = this.server.accept()) {
			readRequest(connection);
			if (kept) {
				write(connection, WHOLE);
				assertThat(calls.get(0).join().status()).isEqualTo(200);
				calls.add(call());
				readRequest(connection);
			}
			write(connection, sent);
			if (reset) {
				connection.setSoLinger(true, 0);
			}
		}
		return describe(calls.get(calls.size() - 1));
	}

	private static String describe(CompletableFuture<WebAnswer> call) {
		return call.handle((answer, failure) -> {
			if (failure == null) {
				return answer.status() + " " + answer.body().text();
			}
			return (failure instanceof TimeoutException || failure instanceof NotConnectedException)
					? failure.toString() : "failed";
		}).join();
	}

	private CompletableFuture<WebAnswer> call() {
		return this.client.call("127.0.0.1:" + this.server.getLocalPort(),
				WebRequest.get("/copy", HeaderFields.of("Host", "shop")), false,
				new AnswerLimits(TIMEOUT_MILLIS, MAX_ANSWER_BYTES));
	}

	private static void write(Socket connection, String bytes) throws IOException {
		connection.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
	}

	private static void readRequest(Socket connection) throws IOException {
		final StringBuilder request = new StringBuilder();
		while (request.indexOf("\r\n\r\n") < 0) {
			final int next = connection.getInputStream().read();
			assertThat(next).isNotNegative();
			request.append((char) next);
		}
	}

}
