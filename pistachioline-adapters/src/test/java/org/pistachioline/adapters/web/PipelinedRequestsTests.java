package org.pistachioline.adapters.web;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: callers who send requests before they have the answers to earlier ones, over real
 * connections.
 */
@Timeout(60)
class PipelinedRequestsTests {

	private static final int READ_TIMEOUT_MILLIS = 20_000;

	private static final int MANY = 600;

	private static final String MALFORMED = "nonsense\r\n\r\n";

	private final WebLoop loop = new WebLoop("test");

	private final CountDownLatch released = new CountDownLatch(1);

	private final Queue<String> handled = new ConcurrentLinkedQueue<>();

	private final AtomicInteger faults = new AtomicInteger();

	private final WebServer server = new WebServer(this.loop, "127.0.0.1:0", new PathHandler(),
			() -> RequestLimits.DEFAULT);

	@BeforeEach
	void start() {
		this.server.start();
	}

	@AfterEach
	void stop() {
		this.released.countDown();
		this.server.stop();
		this.loop.close();
	}

	// Guards against requests behind the one that is answered that get no answer, or
	// another one's.
	@Test
	void eachRequestBehindAnotherGetsItsOwnAnswer() throws IOException {
		try (Socket caller = send(get("/later/1") + get("/now/2") + get("/later/3") + get("/stream/4") + get("/now/5")
				+ get("/close/6"))) {
			this.released.countDown();
			assertThat(statusesAndPaths(caller)).containsExactly("200 /later/1", "200 /now/2", "200 /later/3",
					"200 /stream/4", "200 /now/5", "200 /close/6");
		}
	}

	// Guards against a fault that ends the answer which is being given before it.
	@Test
	void aFaultBehindARequestWaitsForItsAnswer() throws IOException {
		assertFaultComesAfter("/later/1", MALFORMED, "400");
		assertFaultComesAfter("/later/1", "POST /2 HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n", "413");
	}

	// Guards against a fault that breaks a stream off which has begun.
	@Test
	void aFaultBehindAStreamWaitsForItsEnd() throws IOException {
		assertFaultComesAfter("/slow-stream/1", MALFORMED, "400");
	}

	private void assertFaultComesAfter(String path, String fault, String status) throws IOException {
		try (Socket caller = send(get(path) + fault)) {
			this.released.countDown();
			assertThat(statusesAndPaths(caller)).containsExactly("200 " + path, status + " fault");
		}
	}

	// Guards against a close that the requests behind an answer were not told of.
	@Test
	void anAnswerThatLeavesRequestsBehindItUnansweredAnnouncesTheClose() throws IOException {
		assertAnnouncedClose(get("/close/1") + get("/now/2"), "/close/1");
		assertAnnouncedClose(get("/close-stream/1") + get("/now/2"), "/close-stream/1");
		assertAnnouncedClose(get("/now/1").replace("Host", "Connection: close\r\nHost") + get("/now/2"), "/now/1");
		assertAnnouncedClose(get("/stream/1").replace("1.1", "1.0") + get("/now/2"), "/stream/1");
		assertAnnouncedClose(MALFORMED + get("/now/2"), "fault");
	}

	private void assertAnnouncedClose(String requests, String last) throws IOException {
		this.released.countDown();
		try (Socket caller = send(requests)) {
			final String answer = readAll(caller);
			assertThat(answer.split("HTTP/1.1 ")).as(answer).hasSize(2);
			assertThat(answer).containsIgnoringCase("\r\nconnection: close\r\n").contains(last);
		}
	}

	// Guards against a connection that is closed on the requests that were read, because
	// more came in one piece than are read.
	@Test
	void requestsThatAreTooManyInOnePieceAreRefusedAfterTheAnswersToThoseBefore() throws IOException {
		final CountDownLatch held = new CountDownLatch(1);
		this.loop.execute(() -> await(held));
		try (Socket caller = send("GET /now HTTP/1.1\r\n\r\n".repeat(MANY))) {
			held.countDown();
			final String answers = readAll(caller);
			final int refusal = answers.indexOf("HTTP/1.1 503 ");
			assertThat(answers.substring(0, refusal).split("HTTP/1.1 200 ")).hasSize(this.handled.size() + 1);
			assertThat(answers.substring(refusal)).containsIgnoringCase("\r\nconnection: close\r\n").endsWith("fault");
			assertThat(this.faults).hasValue(1);
			assertThat(this.handled).hasSizeLessThan(MANY);
		}
	}

	private static String get(String path) {
		return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private Socket send(String requests) throws IOException {
		final String[] address = this.server.localAddress().split(":");
		final Socket caller = new Socket(address[0], Integer.parseInt(address[1]));
		caller.setSoTimeout(READ_TIMEOUT_MILLIS);
		caller.getOutputStream().write(requests.getBytes(StandardCharsets.US_ASCII));
		return caller;
	}

	private static String readAll(Socket caller) throws IOException {
		return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
	}

	// Whole bodies and the one chunk of a stream are the path, on a line of its own.
	private static String[] statusesAndPaths(Socket caller) throws IOException {
		final String answers = readAll(caller);
		return Arrays.stream(answers.split("HTTP/1.1 "))
			.skip(1)
			.map((answer) -> answer.substring(0, 3) + ' '
					+ answer.lines()
						.filter((line) -> line.startsWith("/") || line.equals("fault"))
						.findFirst()
						.orElse(""))
			.toArray(String[]::new);
	}

	/**
	 * Answers with the path, in the way that its first part says.
	 */
	private final class PathHandler implements WebHandler {

		@Override
		public void handle(WebRequest request, WebReply reply) {
			final String path = request.path();
			PipelinedRequestsTests.this.handled.add(path);
			final WebAnswer whole = WebAnswer.text(200, path);
			if (path.startsWith("/later/")) {
				later(() -> reply.whole(whole));
			}
			else if (path.startsWith("/close/")) {
				reply.whole(whole.with("Connection", "close"));
			}
			else if (path.startsWith("/slow-stream/")) {
				begin(reply, HeaderFields.EMPTY, path);
				later(reply::end);
			}
			else if (path.startsWith("/stream/")) {
				begin(reply, HeaderFields.EMPTY, path);
				reply.end();
			}
			else if (path.startsWith("/close-stream/")) {
				begin(reply, HeaderFields.of("Connection", "close"), path);
				reply.end();
			}
			else {
				reply.whole(whole);
			}
		}

		private void begin(WebReply reply, HeaderFields headers, String path) {
			final byte[] line = (path + "\n").getBytes(StandardCharsets.US_ASCII);
			reply.begin(new AnswerHead(200, headers));
			reply.piece(line, 0, line.length);
			reply.flush();
		}

		// What was sent behind the request is read meanwhile.
		private void later(Runnable step) {
			new Thread(() -> {
				await(PipelinedRequestsTests.this.released);
				PipelinedRequestsTests.this.loop.execute(step);
			}).start();
		}

		@Override
		public WebAnswer onFault(RequestFault fault, HeaderFields headers) {
			PipelinedRequestsTests.this.faults.incrementAndGet();
			return WebAnswer.text(fault.status(), "fault");
		}

	}

}
