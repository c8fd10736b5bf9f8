package org.pistachioline.daemon.relay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.pistachioline.adapters.web.AnswerHead;
import org.pistachioline.adapters.web.HeaderFields;
import org.pistachioline.adapters.web.RequestLimits;
import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.adapters.web.WebReply;
import org.pistachioline.adapters.web.WebServer;
import org.pistachioline.core.route.RouteKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: a stream whose targets fail one after the other, over real connections.
 */
@Timeout(60)
class StreamOverTargetsTests {

	private static final String TARGET_HEADER = "Answered-By";

	private static final int TARGETS = 3;

	private static final int READ_TIMEOUT_MILLIS = 20_000;

	private static final int LARGE_PIECE_BYTES = 64 * 1024;

	private static final int WITHOUT_END_BYTES = 1024 * 1024;

	private final RelayFixture relay = new RelayFixture(READ_TIMEOUT_MILLIS);

	private final WebLoop targetLoop = new WebLoop("target");

	private final AtomicInteger attempts = new AtomicInteger();

	/** What the targets do with the attempts, in order, whichever target gets them. */
	private volatile List<Consumer<WebReply>> script = List.of();

	private final List<WebServer> targets = IntStream.range(0, TARGETS)
		.mapToObj((i) -> new WebServer(this.targetLoop, RelayFixture.ANY_PORT,
				(request, reply) -> this.script.get(this.attempts.getAndIncrement()).accept(reply),
				() -> RequestLimits.DEFAULT))
		.toList();

	@BeforeEach
	void start() {
		this.targets.forEach(WebServer::start);
		this.relay.start(IntStream.range(0, TARGETS)
			.mapToObj((i) -> RelayFixture.target("t" + i + "@0", this.targets.get(i).localAddress()))
			.toList(), RelayFixture.route("copy", "/", RouteKind.STREAM, TARGETS, true));
	}

	@AfterEach
	void stop() {
		this.relay.stop();
		this.targets.forEach(WebServer::stop);
		this.targetLoop.close();
	}

	// Guards against a stream that is cut without an event where no event was delivered
	// and the caller could still be told of an error.
	@Test
	void aStreamThatFailsBeforeItsFirstEventIsAnsweredWithAWholeError() throws IOException {
		this.script = List.of(breaking("first"), StreamOverTargetsTests::decline, StreamOverTargetsTests::decline);
		final String answer = call();
		assertThat(answer).startsWith("HTTP/1.1 502 ").doesNotContainIgnoringCase("transfer-encoding");
		final int bodyBytes = Integer.parseInt(answer.replaceAll("(?is).*content-length: (\\d+).*", "$1"));
		assertThat(bodyBytes).isPositive();
		assertThat(answer.substring(answer.indexOf("\r\n\r\n") + 4)).hasSize(bodyBytes);
	}

	// Guards against a request that waits until its deadline for the end of a refusal.
	@Test
	void aRefusalWithoutEndIsGivenUpAndTheNextTargetServes() throws IOException {
		this.script = List.of(
				withoutEnd(new AnswerHead(503, HeaderFields.of(StubProtocol.DECLINED_HEADER, "1")), "refused "),
				ending("second", "id: 1\n\n"));
		assertThat(call()).startsWith("HTTP/1.1 200 ").contains("id: 1");
		assertThat(this.relay.relay().oversizedResponseCount()).isEqualTo(1);
	}

	// Guards against an event that has no end and takes the daemon's memory.
	@Test
	void anEventWithoutEndIsGivenUpAndTheNextTargetServes() throws IOException {
		this.script = List.of(withoutEnd(new AnswerHead(200, HeaderFields.of(TARGET_HEADER, "first")), "data: x "),
				ending("second", "id: 1\n\n"));
		assertThat(call()).startsWith("HTTP/1.1 200 ").contains("id: 1").doesNotContain("data: x");
		assertThat(this.relay.relay().oversizedResponseCount()).isEqualTo(1);
	}

	// Guards against the head and signature of a target that delivered nothing before the
	// events of another one.
	@Test
	void theHeadIsThatOfTheTargetWhichDeliversTheFirstEvent() throws IOException {
		this.script = List.of(breaking("first"), ending("second", "id: 1\n\n"));
		assertThat(call()).startsWith("HTTP/1.1 200 ")
			.containsIgnoringCase(TARGET_HEADER + ": second")
			.doesNotContainIgnoringCase(TARGET_HEADER + ": first")
			.endsWith("7\r\nid: 1\n\n\r\n0\r\n\r\n");
	}

	// Guards against a second head in the middle of a stream that another target resumes.
	@Test
	void theHeadOfTheFirstDelivererStaysWhenAnotherTargetResumes() throws IOException {
		this.script = List.of(breaking("first", "id: 1\n\n"), ending("second", "id: 2\n\n"));
		assertThat(call()).startsWith("HTTP/1.1 200 ")
			.containsIgnoringCase(TARGET_HEADER + ": first")
			.doesNotContainIgnoringCase(TARGET_HEADER + ": second")
			.endsWith("7\r\nid: 1\n\n\r\n7\r\nid: 2\n\n\r\n0\r\n\r\n");
	}

	// Guards against a complete stream without events that gets neither head nor end.
	@Test
	void aCompleteStreamWithoutEventsHasItsHeadAndItsEnd() throws IOException {
		this.script = List.of(ending("first"));
		assertThat(call()).startsWith("HTTP/1.1 200 ")
			.containsIgnoringCase(TARGET_HEADER + ": first")
			.endsWith("\r\n\r\n0\r\n\r\n");
	}

	// Guards against a caller that waits for ever because the answer of the next target
	// has no events and cannot follow those that were sent.
	@Test
	void aResumedStreamWithoutAnyTargetThatContinuesItIsBrokenOff() throws IOException {
		this.script = List.of(breaking("first", "id: 1\n\n"), StreamOverTargetsTests::answerWithoutEvents,
				StreamOverTargetsTests::answerWithoutEvents);
		assertThat(call()).startsWith("HTTP/1.1 200 ").endsWith("7\r\nid: 1\n\n\r\n");
		assertThat(this.attempts).hasValue(3);
	}

	// Guards against a stream that ends with a target's answer without events although
	// another target can continue it.
	@Test
	void aResumedStreamGoesOnAtTheNextTargetAfterAnAnswerWithoutEvents() throws IOException {
		this.script = List.of(breaking("first", "id: 1\n\n"), StreamOverTargetsTests::answerWithoutEvents,
				ending("third", "id: 2\n\n"));
		assertThat(call()).startsWith("HTTP/1.1 200 ")
			.containsIgnoringCase(TARGET_HEADER + ": first")
			.endsWith("7\r\nid: 1\n\n\r\n7\r\nid: 2\n\n\r\n0\r\n\r\n");
	}

	// Guards against a valid answer without events that is dropped before the stream has
	// begun, where it is the request's answer.
	@Test
	void anAnswerWithoutEventsIsTheAnswerWhileNothingWasDelivered() throws IOException {
		this.script = List.of(breaking("first"), StreamOverTargetsTests::answerWithoutEvents);
		assertThat(call()).startsWith("HTTP/1.1 204 ");
	}

	private static void answerWithoutEvents(WebReply reply) {
		reply.whole(WebAnswer.empty(204));
	}

	private static Consumer<WebReply> breaking(String name, String... events) {
		return (reply) -> {
			begin(reply, name, events);
			reply.breakOff();
		};
	}

	private static Consumer<WebReply> ending(String name, String... events) {
		return (reply) -> {
			begin(reply, name, events);
			reply.end();
		};
	}

	// Sends a piece again and again until it is far above every limit, and does not end.
	private static Consumer<WebReply> withoutEnd(AnswerHead head, String piece) {
		return (reply) -> {
			reply.begin(head);
			final String large = piece.repeat(LARGE_PIECE_BYTES / piece.length());
			for (int sent = 0; sent < WITHOUT_END_BYTES; sent += large.length()) {
				reply.piece(large.getBytes(StandardCharsets.US_ASCII), 0, large.length());
			}
			reply.flush();
		};
	}

	private static void begin(WebReply reply, String name, String... events) {
		reply.begin(new AnswerHead(200, HeaderFields.of(TARGET_HEADER, name)));
		for (final String event : events) {
			reply.piece(event.getBytes(StandardCharsets.US_ASCII), 0, event.length());
		}
		reply.flush();
	}

	private static void decline(WebReply reply) {
		reply.whole(WebAnswer.empty(503).with(StubProtocol.DECLINED_HEADER, "1"));
	}

	private String call() throws IOException {
		return this.relay.call("/copy");
	}

}
