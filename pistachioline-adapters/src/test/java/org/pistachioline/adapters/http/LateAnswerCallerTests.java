package org.pistachioline.adapters.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.javadsl.Sink;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * The product's own client before a server that answers each request twice on its
 * connection, and whose connections stay open.
 */
@Timeout(60)
class LateAnswerCallerTests {

	/** Only a test that fails waits for so long. */
	private static final long TIMEOUT_MILLIS = 10_000;

	private static final long SHORT_TIMEOUT_MILLIS = 300;

	private final ActorSystem<Void> system = ActorSystems.create("late-answer-test");

	private final HttpCaller caller = new HttpCaller(this.system);

	private final AtomicInteger requests = new AtomicInteger();

	private final CompletableFuture<Void> asked = new CompletableFuture<>();

	private final CompletableFuture<Void> ended = new CompletableFuture<>();

	private final AtomicReference<Throwable> fault = new AtomicReference<>();

	private volatile SecondAnswer secondAnswer = SecondAnswer.WITH_THE_FIRST;

	private ServerSocket server;

	@BeforeEach
	void listen() throws IOException {
		this.server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
		final Thread acceptor = new Thread(this::acceptAll, "late-answer-acceptor");
		acceptor.setDaemon(true);
		acceptor.start();
	}

	@AfterEach
	void close() throws IOException {
		this.server.close();
		this.system.terminate();
		assertThat(this.fault.get()).isNull();
	}

	// Guards against the late second answer to one call that is taken for the answer to
	// the next one, where nothing in an answer tells whose it is.
	@ParameterizedTest
	@EnumSource(SecondAnswer.class)
	void eachCallGetsTheAnswerToItsOwnRequest(SecondAnswer second) {
		this.secondAnswer = second;
		for (int i = 1; i <= 5; i++) {
			assertThat(call("GET").join().bodyText()).isEqualTo("/call-" + i);
		}
	}

	// Guards against an order or an append that is taken for done since the call before
	// it was.
	@ParameterizedTest
	@EnumSource(SecondAnswer.class)
	void eachCallThatChangesSomethingGetsTheAnswerToItsOwnRequest(SecondAnswer second) {
		this.secondAnswer = second;
		for (int i = 1; i <= 5; i++) {
			assertThat(call("POST").join().bodyText()).isEqualTo("/call-" + i);
		}
	}

	// Guards against the same where the answer comes in pieces.
	@ParameterizedTest
	@EnumSource(SecondAnswer.class)
	void eachStreamBelongsToItsOwnRequest(SecondAnswer second) {
		this.secondAnswer = second;
		for (int i = 1; i <= 5; i++) {
			final HttpResponse response = stream("/chunked");
			final String text = response.entity()
				.getDataBytes()
				.runFold("", (before, bytes) -> before + bytes.utf8String(), this.system)
				.toCompletableFuture()
				.orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
				.join();
			assertThat(text).isEqualTo("/chunked-" + i);
		}
	}

	// Guards against connections that pile up since nobody closes them.
	@Test
	void theConnectionEndsBehindItsAnswer() throws Exception {
		call("GET").join();
		awaitEnd();
	}

	// Guards against a target that goes on working for a caller who has left.
	@Test
	void theConnectionEndsWhereAStreamIsGivenUp() throws Exception {
		final HttpResponse response = stream("/endless");
		response.entity().getDataBytes().runWith(Sink.cancelled(), this.system);
		awaitEnd();
	}

	// Guards against a target that goes on working on a call that nobody waits for.
	@Test
	void theConnectionEndsWhereACallTakesTooLong() throws Exception {
		// A call that ends before its connection is made asks the server nothing.
		while (!this.asked.isDone()) {
			final CompletableFuture<HttpAnswer> call = this.caller.call(request("GET", "/silent"), SHORT_TIMEOUT_MILLIS,
					HttpCaller.SHORT_ANSWER_BYTES);
			assertThatExceptionOfType(CompletionException.class).isThrownBy(call::join)
				.withCauseInstanceOf(TimeoutException.class);
		}
		awaitEnd();
	}

	private void awaitEnd() throws Exception {
		this.ended.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private CompletableFuture<HttpAnswer> call(String method) {
		return this.caller.call(request(method, "/call"), TIMEOUT_MILLIS, HttpCaller.SHORT_ANSWER_BYTES);
	}

	private HttpResponse stream(String path) {
		return this.caller.stream(request("POST", path))
			.toCompletableFuture()
			.orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.join();
	}

	private HttpRequest request(String method, String path) {
		final String url = "http://127.0.0.1:" + this.server.getLocalPort() + path;
		return method.equals("GET") ? HttpRequest.GET(url) : HttpRequest.POST(url);
	}

	private void acceptAll() {
		while (!this.server.isClosed()) {
			try {
				final Socket connection = this.server.accept();
				final Thread answering = new Thread(() -> answerAll(connection), "late-answer-connection");
				answering.setDaemon(true);
				answering.start();
			}
			catch (IOException ex) {
				if (!this.server.isClosed()) {
					this.fault.set(ex);
				}
			}
		}
	}

	private void answerAll(Socket connection) {
		try (connection) {
			String before = "";
			String path = readPath(connection.getInputStream());
			while (path != null) {
				this.asked.complete(null);
				final String answer = answerTo(path);
				if (this.secondAnswer == SecondAnswer.WITH_THE_NEXT_REQUEST) {
					write(connection, before + answer);
				}
				else {
					write(connection, answer + answer);
				}
				before = answer;
				path = readPath(connection.getInputStream());
			}
		}
		catch (SocketException ex) {
			// The client may reset a connection on which more than its answer arrived.
		}
		catch (IOException ex) {
			this.fault.set(ex);
		}
		finally {
			if (this.asked.isDone()) {
				this.ended.complete(null);
			}
		}
	}

	private String answerTo(String path) {
		if (path.equals("/silent")) {
			return "";
		}
		if (path.equals("/endless")) {
			return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n";
		}
		final String text = path + "-" + this.requests.incrementAndGet();
		return path.equals("/chunked")
				? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(text.length()) + "\r\n"
						+ text + "\r\n0\r\n\r\n"
				: "HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text;
	}

	private static void write(Socket connection, String text) throws IOException {
		connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

	private static String readPath(InputStream in) throws IOException {
		final StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			final int next = in.read();
			if (next < 0) {
				return null;
			}
			head.append((char) next);
		}
		return head.toString().split(" ")[1];
	}

	private enum SecondAnswer {

		/** At once, so that it arrives while the connection is idle. */
		WITH_THE_FIRST,

		/** When the next request has come, before the answer to that one. */
		WITH_THE_NEXT_REQUEST

	}

}
