package org.pistachioline.adapters.web;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Many requests in a row on many callers' connections, whose answers are given in any
 * order, some twice, some broken off.
 */
@Timeout(60)
class AnswersInPlaceTests {

	private static final int CALLERS = 40;

	private static final int REQUESTS_PER_CALLER = 6;

	private static final int READ_TIMEOUT_MILLIS = 10_000;

	private static final String[] KINDS = { "now", "later", "twice", "stream", "stream-twice", "throw", "cut",
			"cut-stream" };

	private static final Runnable END = () -> {
	};

	private final WebLoop loop = new WebLoop("test");

	private final BlockingQueue<Runnable> steps = new LinkedBlockingQueue<>();

	private final ExecutorService callers = Executors.newFixedThreadPool(CALLERS);

	private final WebServer server = new WebServer(this.loop, "127.0.0.1:0", new KindHandler(),
			() -> RequestLimits.DEFAULT);

	@BeforeEach
	void start() {
		this.server.start();
	}

	@AfterEach
	void stop() {
		this.callers.shutdownNow();
		this.server.stop();
		this.loop.close();
	}

	// Guards against an answer that goes to the request behind its own: one that is given
	// twice, or for a request whose connection has ended.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void eachAnswerBelongsToTheRequestAtItsPlace(long seed) throws Exception {
		final Random random = new Random(seed);
		final List<List<String>> sent = new ArrayList<>();
		final List<CompletableFuture<List<String>>> received = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			final List<String> paths = new ArrayList<>();
			for (int j = 0; j < REQUESTS_PER_CALLER; j++) {
				paths.add("/" + KINDS[random.nextInt(KINDS.length)] + "/" + i + "-" + j);
			}
			sent.add(paths);
			received.add(CompletableFuture.supplyAsync(() -> exchange(paths), this.callers));
		}
		CompletableFuture.allOf(received.toArray(CompletableFuture[]::new))
			.whenComplete((done, failure) -> this.steps.add(END));
		runStepsInAnyOrder(random);
		for (int i = 0; i < CALLERS; i++) {
			assertThat(received.get(i).join()).as("%s", sent.get(i)).isEqualTo(expected(sent.get(i)));
		}
	}

	private void runStepsInAnyOrder(Random random) throws InterruptedException {
		final List<Runnable> taken = new ArrayList<>();
		while (!taken.contains(END)) {
			taken.clear();
			taken.add(this.steps.take());
			this.steps.drainTo(taken);
			Collections.shuffle(taken, random);
			taken.forEach(this.loop::execute);
		}
	}

	private static List<String> expected(List<String> paths) {
		final List<String> answers = new ArrayList<>();
		for (final String path : paths) {
			if (path.startsWith("/cut/")) {
				return answers;
			}
			if (path.startsWith("/cut-stream/")) {
				answers.add("200 " + path + " cut");
				return answers;
			}
			answers.add(path.startsWith("/throw/") ? "500 fault" : "200 " + path);
		}
		return answers;
	}

	private List<String> exchange(List<String> paths) {
		final StringBuilder requests = new StringBuilder();
		for (int i = 0; i < paths.size(); i++) {
			final String close = (i == paths.size() - 1) ? "Connection: close\r\n" : "";
			requests.append("GET ")
				.append(paths.get(i))
				.append(" HTTP/1.1\r\nHost: h\r\n")
				.append(close)
				.append("\r\n");
		}
		final String[] address = this.server.localAddress().split(":");
		try (Socket caller = new Socket(address[0], Integer.parseInt(address[1]))) {
			caller.setSoTimeout(READ_TIMEOUT_MILLIS);
			caller.getOutputStream().write(requests.toString().getBytes(StandardCharsets.US_ASCII));
			return answersIn(new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII));
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static List<String> answersIn(String bytes) {
		return Arrays.stream(bytes.split("HTTP/1.1 ")).skip(1).map(AnswersInPlaceTests::describe).toList();
	}

	// All lines of a body count, so that bytes of another answer in it show.
	private static String describe(String answer) {
		final String[] parts = answer.split("\r\n\r\n", 2);
		final boolean chunked = parts[0].contains("chunked");
		final String lines = String.join(" ",
				parts[1].lines().filter((line) -> line.startsWith("/") || line.equals("fault")).toList());
		final boolean whole = !chunked || parts[1].endsWith("\r\n0\r\n\r\n");
		return answer.substring(0, 3) + ' ' + lines + (whole ? "" : " cut");
	}

	/**
	 * Answers with the path, in the way that its first part says.
	 */
	private final class KindHandler implements WebHandler {

		@Override
		public void handle(WebRequest request, WebReply reply) {
			final String path = request.path();
			final WebAnswer whole = WebAnswer.text(200, path + "\n");
			switch (path.split("/")[1]) {
				case "now" -> reply.whole(whole);
				case "later" -> later(() -> reply.whole(whole));
				case "twice" -> later(() -> {
					reply.whole(whole);
					later(() -> reply.whole(whole));
				});
				case "stream" -> later(() -> stream(reply, path));
				case "stream-twice" -> later(() -> {
					stream(reply, path);
					later(() -> stream(reply, path));
				});
				case "throw" -> throw new IllegalStateException("thrown by the test");
				case "cut" -> later(reply::breakOff);
				default -> later(() -> {
					begin(reply, path);
					later(() -> {
						reply.breakOff();
						later(() -> stream(reply, path));
					});
				});
			}
		}

		private void stream(WebReply reply, String path) {
			begin(reply, path);
			reply.end();
		}

		private void begin(WebReply reply, String path) {
			final byte[] line = (path + "\n").getBytes(StandardCharsets.US_ASCII);
			reply.begin(new AnswerHead(200, HeaderFields.EMPTY));
			reply.piece(line, 0, line.length);
			reply.flush();
		}

		private void later(Runnable step) {
			AnswersInPlaceTests.this.steps.add(step);
		}

		@Override
		public WebAnswer onFault(RequestFault fault, HeaderFields headers) {
			return WebAnswer.text(fault.status(), "fault\n");
		}

	}

}
