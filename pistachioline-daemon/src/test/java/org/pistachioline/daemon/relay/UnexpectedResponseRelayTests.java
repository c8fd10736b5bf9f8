package org.pistachioline.daemon.relay;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.pistachioline.adapters.web.AnswerPart;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.route.RouteKind;
import org.pistachioline.daemon.event.EventRecorder;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What the log says of requests whose targets answer twice or name another request, over
 * real connections.
 */
@Timeout(60)
class UnexpectedResponseRelayTests {

	private static final int READ_TIMEOUT_MILLIS = 20_000;

	private static final int MAX_CHECKS = 10_000;

	private final RelayFixture relay = new RelayFixture(READ_TIMEOUT_MILLIS);

	private final ScriptedTarget target = new ScriptedTarget();

	private final EventRecorder events = new EventRecorder();

	@BeforeEach
	void start() throws IOException {
		this.target.start();
		// One server plays both, so that the script holds for whichever is chosen.
		this.relay.start(Stream.of("t@0", "u@0").map((id) -> RelayFixture.target(id, this.target.address())).toList(),
				RelayFixture.route("safe", "/", RouteKind.SAFE, 2, false));
	}

	@AfterEach
	void stop() {
		this.relay.stop();
		this.target.stop();
		this.events.close();
	}

	// Guards against an attempt that is given up without a line that says on which
	// connection, and whose answer it got.
	@Test
	void theLogOfAMismatchNamesTheConnectionAndTheAnsweredRequest() throws IOException {
		this.target.script(ScriptedTarget.Ending.kept(answer("before", "before")),
				ScriptedTarget.Ending.kept(answer("nobody", "wrong")),
				ScriptedTarget.Ending.kept(answer("asked", "right")));
		assertThat(this.relay.call("/1", "before")).endsWith("before");
		assertThat(this.relay.call("/1", "asked")).endsWith("right");
		final Map<String, String> mismatch = only(EventId.RESPONSE_UNEXPECTED);
		assertThat(mismatch).containsEntry("reason", "mismatched")
			.containsEntry("request", "asked")
			.containsEntry("answered", "nobody")
			.containsEntry("status", "200")
			.containsEntry("address", this.target.address())
			.containsEntry("earlier_requests", "1");
		assertThat(Long.parseLong(mismatch.get("connection"))).isPositive();
		assertThat(only(EventId.REQUEST_RETRIED)).containsEntry("request", "asked")
			.containsEntry("from_connection", mismatch.get("connection"));
		assertThat(count(UnexpectedReason.MISMATCHED)).isOne();
	}

	// Guards against an attempt whose status was another answer's, without a line that
	// says why it failed.
	@Test
	void theLogOfJoinedHeadsNamesTheConnectionAndTheAnsweredRequest() throws IOException {
		this.target.script(ScriptedTarget.Ending.kept(answer("before", "before")),
				ScriptedTarget.Ending.kept("HTTP/1.1 200 " + answer("asked", "wrong").replace("200", "500")),
				ScriptedTarget.Ending.kept(answer("asked", "right")));
		assertThat(this.relay.call("/1", "before")).endsWith("before");
		assertThat(this.relay.call("/1", "asked")).endsWith("right");
		assertThat(only(EventId.RESPONSE_UNEXPECTED)).containsEntry("reason", "joined")
			.containsEntry("request", "asked")
			.containsEntry("answered", "asked")
			.containsEntry("status", "200")
			.containsEntry("earlier_requests", "1");
		assertThat(count(UnexpectedReason.JOINED)).isOne();
	}

	// Guards against an attempt that failed since its target is in trouble, without a
	// line
	// that says so.
	@Test
	void theLogOfAMalformedAnswerNamesTheTargetAndThePart() throws IOException {
		this.target.script(
				ScriptedTarget.Ending
					.kept(answer("asked", "wrong").replace("Content-Length", "X-A b: 1\r\nContent-Length")),
				ScriptedTarget.Ending.kept(answer("asked", "right")));
		assertThat(this.relay.call("/1", "asked")).endsWith("right");
		assertThat(only(EventId.RESPONSE_MALFORMED)).containsEntry("part", "field_name")
			.containsEntry("request", "asked")
			.containsEntry("address", this.target.address())
			.containsEntry("connection", only(EventId.REQUEST_RETRIED).get("from_connection"))
			.containsEntry("target", only(EventId.REQUEST_RETRIED).get("from"));
		assertThat(this.events.events(EventId.RESPONSE_UNEXPECTED)).isEmpty();
		assertThat(this.relay.relay().malformedResponseCount(AnswerPart.FIELD_NAME)).isOne();
	}

	// Guards against a lost connection of which the log does not say that it was used
	// before.
	@Test
	void theLogOfALostConnectionNamesItAndItsUse() throws IOException {
		this.target.script(ScriptedTarget.Ending.kept(answer("a", "first")),
				new ScriptedTarget.Ending("HTTP/1.1 200", false), new ScriptedTarget.Ending("HTTP/1.1 200", false));
		assertThat(this.relay.call("/1", "a")).endsWith("first");
		assertThat(this.relay.call("/1", "b")).startsWith("HTTP/1.1 502 ");
		final List<Map<String, String>> lost = this.events.events(EventId.TARGET_CONNECTION_LOST);
		assertThat(lost).extracting((fields) -> fields.get("request")).containsExactly("b", "b");
		assertThat(lost).extracting((fields) -> fields.get("earlier_requests")).containsExactly("1", "0");
		assertThat(Long.parseLong(lost.get(0).get("connection"))).isPositive();
		assertThat(only(EventId.REQUEST_RETRIED)).containsEntry("from_connection", lost.get(0).get("connection"));
		assertThat(lost.get(1).get("connection")).isNotEqualTo(lost.get(0).get("connection"));
	}

	// Guards against a second answer that closes an idle connection without a line.
	@Test
	void aSecondAnswerThatNobodyWaitsForIsLogged() throws IOException {
		this.target.script(ScriptedTarget.Ending.kept(answer("a", "first") + answer("a", "second")));
		assertThat(this.relay.call("/1", "a")).endsWith("first");
		for (int check = 0; check < MAX_CHECKS && this.events.events(EventId.RESPONSE_UNEXPECTED).isEmpty(); check++) {
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
		}
		assertThat(only(EventId.RESPONSE_UNEXPECTED)).containsEntry("reason", "idle")
			.containsEntry("request", "")
			.containsEntry("answered", "a")
			.containsEntry("earlier_requests", "1");
		assertThat(count(UnexpectedReason.IDLE)).isOne();
	}

	// Guards against a repeated request that avoids a connection without a line.
	@Test
	void theLogOfARepeatedIdNamesTheConnectionThatIsAvoided() throws IOException {
		this.target.script(ScriptedTarget.Ending.kept(answer("a", "first")),
				ScriptedTarget.Ending.kept(answer("a", "again")));
		assertThat(this.relay.call("/1", "a")).endsWith("first");
		assertThat(this.relay.call("/1", "a")).endsWith("again");
		assertThat(only(EventId.REQUEST_ID_REPEATED)).containsEntry("request", "a")
			.containsEntry("address", this.target.address())
			.containsEntry("earlier_requests", "1");
		assertThat(this.target.connections()).isEqualTo(2);
		assertThat(this.events.events(EventId.RESPONSE_UNEXPECTED)).isEmpty();
	}

	private Map<String, String> only(EventId event) {
		assertThat(this.events.events(event)).hasSize(1);
		return this.events.events(event).get(0);
	}

	private long count(UnexpectedReason reason) {
		return this.relay.relay().unexpectedResponseCount(reason);
	}

	private static String answer(String id, String body) {
		return "HTTP/1.1 200 OK\r\n" + StubProtocol.ID_HEADER + ": " + id + "\r\nContent-Length: " + body.length()
				+ "\r\n\r\n" + body;
	}

}
