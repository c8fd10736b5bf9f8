package org.pistachioline.daemon.event;

import java.util.Map;

import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.web.AnswerPart;
import org.pistachioline.adapters.web.ConnectionUse;
import org.pistachioline.adapters.web.MalformedAnswer;
import org.pistachioline.adapters.web.UnexpectedAnswer;
import org.pistachioline.core.event.EventId;

import static org.assertj.core.api.Assertions.assertThat;

class UnexpectedAnswerLogTests {

	// Guards against a server that answers twice without a trace of it.
	@Test
	void anAnswerThatComesWhileNobodyWaitsIsLoggedWithItsConnection() {
		try (EventRecorder recorder = new EventRecorder()) {
			new UnexpectedAnswerLog()
				.onUnexpected(new UnexpectedAnswer("127.0.0.1:1", "", "x", 409, new ConnectionUse(7, 2, 30)));
			assertThat(recorder.events(EventId.RESPONSE_UNEXPECTED)).singleElement()
				.satisfies((fields) -> assertThat(fields).containsEntry("reason", "idle")
					.containsEntry("answered", "x")
					.containsEntry("status", "409")
					.containsEntry("address", "127.0.0.1:1")
					.containsEntry("connection", "7")
					.containsEntry("earlier_requests", "2")
					.containsEntry("idle_millis", "30"));
		}
	}

	// Guards against a store or an instance in trouble without a trace of it.
	@Test
	void anAnswerThatIsMalformedIsLoggedWithThePart() {
		try (EventRecorder recorder = new EventRecorder()) {
			new UnexpectedAnswerLog().onMalformed(
					new MalformedAnswer("127.0.0.1:1", "", AnswerPart.STATUS_LINE, new ConnectionUse(7, 2, 30)));
			assertThat(recorder.events(EventId.RESPONSE_MALFORMED)).containsExactly(
					Map.of("event", "PL-0517", "text", EventId.RESPONSE_MALFORMED.text(), "part", "status_line",
							"request", "", "address", "127.0.0.1:1", "connection", "7", "earlier_requests", "2"));
		}
	}

}
