package org.pistachioline.adapters.web;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.http.NotConnectedException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * The client before a real socket, whose other side each test plays by hand.
 */
class WebClientTests {

	private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

	/** Only a test that fails waits for so long. */
	private static final long MOST_MILLIS = 20_000;

	private static final int MOST_ANSWER_BYTES = 4 * 1024 * 1024;

	private static final AnswerLimits LIMITS = new AnswerLimits(MOST_MILLIS, MOST_ANSWER_BYTES);

	private static final byte[] PIECE = new byte[64 * 1024];

	private final WebLoop loop = new WebLoop("test");

	private final WebClient client = new WebClient(this.loop, 1_000, 5_000, 2);

	private ServerSocket target;

	@BeforeEach
	void listen() throws IOException {
		this.target = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
	}

	@AfterEach
	void close() throws IOException {
		this.target.close();
		this.loop.close();
	}

	@Test
	void anAddressAtWhichSomethingListensRefusesNothing() {
		assertThat(askWhetherRefused(this.target.getLocalPort())).isFalse();
	}

	@Test
	void anAddressAtWhichNothingListensAnyMoreRefuses() throws IOException {
		this.target.close();
		assertThat(askWhetherRefused(this.target.getLocalPort())).isTrue();
	}

	private boolean askWhetherRefused(int port) {
		final CompletableFuture<Boolean> refused = new CompletableFuture<>();
		this.loop.execute(() -> this.client.askWhetherRefused("127.0.0.1:" + port, refused::complete));
		return refused.join();
	}

	@Test
	void aConnectionIsUsedAgainAfterAWholeAnswer() throws IOException {
		final CompletableFuture<WebAnswer> first = call(false);
		try (Socket connection = this.target.accept()) {
			answer(connection);
			assertThat(first.join().body().text()).isEqualTo("ok");
			final CompletableFuture<WebAnswer> second = call(false);
			answer(connection);
			assertThat(second.join().status()).isEqualTo(200);
		}
	}

	@Test
	void aRequestThatMayNotBeSentTwiceGetsAFreshConnection() throws IOException {
		final CompletableFuture<WebAnswer> first = call(false);
		try (Socket connection = this.target.accept()) {
			answer(connection);
			first.join();
			final CompletableFuture<WebAnswer> second = call(true);
			try (Socket fresh = this.target.accept()) {
				answer(fresh);
				assertThat(second.join().status()).isEqualTo(200);
			}
		}
	}

	/**
	 * A target takes the request and closes its connection without a word. Whoever waits
	 * for the answer must be told so at once, and not when its own time is up.
	 */
	@Test
	void aConnectionThatIsClosedWithoutAnAnswerFailsTheCallAtOnce() throws IOException {
		final CompletableFuture<WebAnswer> call = call(false);
		try (Socket connection = this.target.accept()) {
			read(connection);
		}
		assertThatExceptionOfType(CompletionException.class).isThrownBy(call::join)
			.satisfies((ex) -> assertThat(ex.getCause()).isNotInstanceOf(NotConnectedException.class)
				.isNotInstanceOf(TimeoutException.class));
	}

	// Guards against a caller who waits until the deadline for a request that was never
	// written.
	@Test
	void aRequestThatCannotBeWrittenFailsAtOnceAndIsToldApart() {
		final WebRequest request = WebRequest.get("/", HeaderFields.of("Name", "a\nb"));
		assertThatExceptionOfType(CompletionException.class)
			.isThrownBy(
					() -> this.client.call("127.0.0.1:" + this.target.getLocalPort(), request, false, LIMITS).join())
			.withCauseInstanceOf(UnsendableRequestException.class);
	}

	@Test
	void aTargetThatIsNotThereIsToldApart() throws IOException {
		this.target.close();
		assertThatExceptionOfType(CompletionException.class).isThrownBy(call(false)::join)
			.withCauseInstanceOf(NotConnectedException.class);
	}

	@Test
	void aCallWithoutAnAnswerEndsAfterItsTimeAndClosesItsConnection() throws IOException {
		final CompletableFuture<WebAnswer> call = this.client.call(address(), request(), false,
				new AnswerLimits(50, MOST_ANSWER_BYTES));
		try (Socket connection = this.target.accept()) {
			assertThatExceptionOfType(CompletionException.class).isThrownBy(call::join)
				.withCauseInstanceOf(TimeoutException.class);
			read(connection);
			assertThat(endsOrIsReset(connection)).isTrue();
		}
	}

	private static boolean endsOrIsReset(Socket connection) {
		try {
			return connection.getInputStream().read() < 0;
		}
		catch (IOException ex) {
			return true;
		}
	}

	// Guards against a request with an id that its connection has carried: a late second
	// answer to the earlier request could not be told from its own.
	@Test
	void aRequestGoesOnAnIdleConnectionThatHasNotCarriedItsId() throws IOException {
		final CompletableFuture<WebAnswer> first = call("a");
		final CompletableFuture<WebAnswer> second = call("b");
		try (Socket one = this.target.accept(); Socket other = this.target.accept()) {
			final String id = answerById(one);
			first.applyToEither(second, WebAnswer::status).join();
			answerById(other);
			CompletableFuture.allOf(first, second).join();
			final CompletableFuture<WebAnswer> repeated = call(id);
			assertThat(answerById(other)).isEqualTo(id);
			assertThat(repeated.join().status()).isEqualTo(200);
			final CompletableFuture<WebAnswer> again = call(id);
			try (Socket fresh = this.target.accept()) {
				assertThat(answerById(fresh)).isEqualTo(id);
				assertThat(again.join().status()).isEqualTo(200);
			}
		}
	}

	// Guards against idle connections that are closed or lost since a request could not
	// go on them.
	@Test
	void aConnectionThatHasCarriedAnIdStaysUsableForOtherIds() throws IOException {
		final CompletableFuture<WebAnswer> first = call("a");
		try (Socket connection = this.target.accept()) {
			answerById(connection);
			first.join();
			final CompletableFuture<WebAnswer> repeated = call("a");
			try (Socket fresh = this.target.accept()) {
				answerById(fresh);
				repeated.join();
				final CompletableFuture<WebAnswer> next = call("b");
				assertThat(answerById(fresh)).isEqualTo("b");
				next.join();
				final CompletableFuture<WebAnswer> last = call("b");
				assertThat(answerById(connection)).isEqualTo("b");
				assertThat(last.join().status()).isEqualTo(200);
			}
		}
	}

	// Guards against a late answer that the kernel holds already when its connection is
	// taken, and whose receiver could not tell it from the answer to its own request.
	@Test
	void aLateAnswerThatWasReceivedButNotReadNamesItsOwnRequest() throws IOException {
		final CompletableFuture<WebAnswer> first = call("a");
		try (Socket connection = this.target.accept()) {
			answerById(connection);
			first.join();
			final CompletableFuture<WebAnswer> second = new CompletableFuture<>();
			this.loop.execute(() -> {
				try {
					write(connection, OK.replace("200", "201"), "a");
				}
				catch (IOException ex) {
					second.completeExceptionally(ex);
				}
				this.client.send(address(), identified("b"), false, new WholeAnswer(second, MOST_ANSWER_BYTES));
			});
			assertThat(second.orTimeout(MOST_MILLIS, TimeUnit.MILLISECONDS).join().head().header("Id")).hasValue("a");
			assertThat(answerById(connection)).isEqualTo("b");
			assertThat(isClosed(connection)).isTrue();
		}
	}

	private static boolean isClosed(Socket connection) throws IOException {
		connection.setSoTimeout((int) MOST_MILLIS);
		try {
			return connection.getInputStream().read() < 0;
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
		catch (SocketException ex) {
			// The connection was reset.
			return true;
		}
	}

	private static WebRequest identified(String id) {
		return WebRequest.get("/report", HeaderFields.of("Id", id)).identifiedBy("Id");
	}

	private CompletableFuture<WebAnswer> call(String id) {
		return this.client.call(address(), identified(id), false, LIMITS).orTimeout(MOST_MILLIS, TimeUnit.MILLISECONDS);
	}

	private CompletableFuture<WebAnswer> call(boolean fresh) {
		return this.client.call(address(), request(), fresh, LIMITS).orTimeout(MOST_MILLIS, TimeUnit.MILLISECONDS);
	}

	private static WebRequest request() {
		return WebRequest.get("/report", HeaderFields.EMPTY);
	}

	private String address() {
		return "127.0.0.1:" + this.target.getLocalPort();
	}

	private static void answer(Socket connection) throws IOException {
		read(connection);
		connection.getOutputStream().write(OK.getBytes(StandardCharsets.US_ASCII));
		connection.getOutputStream().flush();
	}

	// Returns the request's id.
	private static String answerById(Socket connection) throws IOException {
		final String id = read(connection).replaceAll("(?is).*\r\nid: (\\w+)\r\n.*", "$1");
		write(connection, OK, id);
		return id;
	}

	private static void write(Socket connection, String answer, String id) throws IOException {
		final String named = answer.replace("\r\n\r\n", "\r\nId: " + id + "\r\n\r\n");
		connection.getOutputStream().write(named.getBytes(StandardCharsets.US_ASCII));
		connection.getOutputStream().flush();
	}

	private static String read(Socket connection) throws IOException {
		final StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			final int next = connection.getInputStream().read();
			if (next < 0) {
				return head.toString();
			}
			head.append((char) next);
		}
		return head.toString();
	}

	/**
	 * Guards against an answer without end to an order or to a call of the store, which
	 * goes on arriving after its caller has given it up.
	 */
	@Test
	void aWholeAnswerThatIsTooLargeClosesItsConnection() throws IOException {
		final CompletableFuture<WebAnswer> answer = this.client.call("127.0.0.1:" + this.target.getLocalPort(),
				new WebRequest("GET", "/", HeaderFields.of("Host", "store"), Body.of("")), true, LIMITS);
		try (Socket server = this.target.accept()) {
			final OutputStream out = server.getOutputStream();
			out.write("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			assertThatThrownBy(() -> {
				for (int sent = 0; sent < 4 * MOST_ANSWER_BYTES; sent += PIECE.length) {
					out.write(PIECE);
				}
			}).isInstanceOf(IOException.class);
		}
		assertThatThrownBy(answer::join).hasCauseInstanceOf(ExcessiveBytesException.class);
	}

}
