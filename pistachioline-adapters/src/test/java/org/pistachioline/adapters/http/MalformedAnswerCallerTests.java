package org.pistachioline.adapters.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The product's own client before a server whose answers break the grammar of HTTP.
 */
@Timeout(60)
class MalformedAnswerCallerTests {

	private static final long TIMEOUT_MILLIS = 10_000;

	private static final String FRAMED = "\r\nContent-Length: 4\r\n\r\n0123";

	private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

	private final ActorSystem<Void> system = ActorSystems.create("malformed-answer-test");

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

	// Guards against a number that is no status and is taken for one.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK",
			"HTTP/1.1 999 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 20x OK",
			"HTTP/2.0 200 OK", "RTSP/1.0 200 OK", "HTTP/1.1 2\u000100 OK" })
	void aStatusLineThatIsNoneIsNotTaken(String statusLine) throws IOException {
		assertNotTaken(statusLine + FRAMED);
	}

	// Guards against a name that is taken for another one since it holds a blank or a
	// control byte.
	@ParameterizedTest
	@ValueSource(strings = { "Content-Length x: 4", "Transfer-Encoding x: chunked", "X-A b: 1", "X-A\tb: 1",
			"X\u0000A: 1", "X\u0001A: 1", "X\u000bA: 1", "X\u001fA: 1", "X\u007fA: 1", "X\u00e9A: 1", "X-A" })
	void aFieldNameThatIsNoneIsNotTaken(String line) throws IOException {
		assertNotTaken("HTTP/1.1 200 OK\r\n" + line + FRAMED);
		assertNotTaken("HTTP/1.1 500 Failed\r\n" + line + "\r\n\r\n0123");
	}

	// Guards against the size of a chunk that is read as another one, which cuts the
	// body.
	@ParameterizedTest
	@ValueSource(strings = { "4 4\r\n0123", "4x\r\n0123", "+4\r\n0123", "0x4\r\n0123", "4\r\n012345" })
	void aChunkThatIsNoneIsNotTaken(String chunk) throws IOException {
		assertNotTaken(CHUNKED + chunk + "\r\n0\r\n\r\n");
	}

	// Guards against a body in a coding that nobody has asked for.
	@ParameterizedTest
	@ValueSource(strings = { "xchunked", "chunked x", "chun ked", "gzip, chunked", "gzip" })
	void aBodyInATransferCodingThatNobodyAskedForIsNotTaken(String coding) throws IOException {
		assertNotTaken("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n4\r\n0123\r\n0\r\n\r\n");
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK" + FRAMED, "HTTP/1.1 200 " + FRAMED, CHUNKED + "4\r\n0123\r\n0\r\n\r\n" })
	void aSoundAnswerIsTaken(String bytes) throws IOException {
		assertThat(answerWith(bytes).join().bodyText()).isEqualTo("0123");
	}

	private void assertNotTaken(String bytes) throws IOException {
		assertThat(answerWith(bytes)).failsWithin(Duration.ofMillis(TIMEOUT_MILLIS));
	}

	private CompletableFuture<HttpAnswer> answerWith(String bytes) throws IOException {
		final CompletableFuture<HttpAnswer> answer = this.caller.call(
				HttpRequest.GET("http://127.0.0.1:" + this.server.getLocalPort() + "/"), TIMEOUT_MILLIS,
				HttpCaller.SHORT_ANSWER_BYTES);
		try (Socket connection = this.server.accept()) {
			final StringBuilder request = new StringBuilder();
			while (request.indexOf("\r\n\r\n") < 0) {
				request.append((char) connection.getInputStream().read());
			}
			connection.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
		}
		return answer;
	}

}
