package org.pistachioline.daemon.relay;

import java.util.Map;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.web.ConnectionUse;
import org.pistachioline.adapters.web.UnexpectedAnswer;
import org.pistachioline.core.event.EventId;
import org.pistachioline.daemon.event.EventRecorder;

import static org.assertj.core.api.Assertions.assertThat;

class UnexpectedResponsesTests {

	private static final ConnectionUse USE = new ConnectionUse(12, 3, 45);

	private static final UnexpectedAnswer ANSWER = new UnexpectedAnswer("10.0.0.1:80", "waits", "asked-before", 500,
			USE);

	private final UnexpectedResponses responses = new UnexpectedResponses();

	private final EventRecorder events = new EventRecorder();

	@AfterEach
	void stop() {
		this.events.close();
	}

	// Guards against a line that does not tell a late answer from a mix-up.
	@Test
	void eachWayIsLoggedWithEveryField() {
		this.responses.onUnexpected(ANSWER);
		this.responses.onJoined(ANSWER);
		this.responses.onMismatch(ANSWER);
		assertThat(this.events.events(EventId.RESPONSE_UNEXPECTED)).containsExactly(fields("idle"), fields("joined"),
				fields("mismatched"));
	}

	// Guards against bytes that are no answer, for which nobody waited, and that leave no
	// line.
	@Test
	void bytesThatAreNoAnswerAreLogged() {
		this.responses.onUnexpected(new UnexpectedAnswer("10.0.0.1:80", "", "", 0, USE));
		assertThat(this.events.events(EventId.RESPONSE_UNEXPECTED)).singleElement()
			.satisfies((logged) -> assertThat(logged).containsEntry("reason", "idle")
				.containsEntry("request", "")
				.containsEntry("answered", "")
				.containsEntry("status", "0"));
	}

	// Guards against counts that mix the ways up.
	@Test
	void eachWayIsCountedByItself() {
		assertThat(counts()).containsExactly(0, 0, 0);
		this.responses.onUnexpected(ANSWER);
		assertThat(counts()).containsExactly(1, 0, 0);
		this.responses.onJoined(ANSWER);
		this.responses.onJoined(ANSWER);
		assertThat(counts()).containsExactly(1, 2, 0);
		this.responses.onMismatch(ANSWER);
		this.responses.onMismatch(ANSWER);
		this.responses.onMismatch(ANSWER);
		assertThat(counts()).containsExactly(1, 2, 3);
	}

	// Guards against repeated ids that leave no trace, or that count as answers.
	@Test
	void aRepeatedIdIsLoggedAndIsNoAnswer() {
		this.responses.onRepeatedId("10.0.0.1:80", "asked-before", USE);
		assertThat(this.events.events(EventId.REQUEST_ID_REPEATED)).containsExactly(
				Map.of("event", "PL-0516", "text", EventId.REQUEST_ID_REPEATED.text(), "request", "asked-before",
						"address", "10.0.0.1:80", "connection", "12", "earlier_requests", "3", "idle_millis", "45"));
		assertThat(counts()).containsExactly(0, 0, 0);
	}

	private long[] counts() {
		return Stream.of(UnexpectedReason.IDLE, UnexpectedReason.JOINED, UnexpectedReason.MISMATCHED)
			.mapToLong(this.responses::count)
			.toArray();
	}

	private static Map<String, String> fields(String reason) {
		return Map.ofEntries(Map.entry("event", "PL-0515"), Map.entry("text", EventId.RESPONSE_UNEXPECTED.text()),
				Map.entry("reason", reason), Map.entry("request", "waits"), Map.entry("answered", "asked-before"),
				Map.entry("status", "500"), Map.entry("address", "10.0.0.1:80"), Map.entry("connection", "12"),
				Map.entry("earlier_requests", "3"), Map.entry("idle_millis", "45"));
	}

}
