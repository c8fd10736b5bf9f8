package org.pistachioline.daemon.relay;

import java.util.Arrays;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.web.AnswerPart;
import org.pistachioline.adapters.web.ConnectionUse;
import org.pistachioline.adapters.web.MalformedAnswer;
import org.pistachioline.core.event.EventId;
import org.pistachioline.daemon.event.EventRecorder;

import static org.assertj.core.api.Assertions.assertThat;

class MalformedResponsesTests {

	private final MalformedResponses responses = new MalformedResponses();

	private final EventRecorder events = new EventRecorder();

	@AfterEach
	void stop() {
		this.events.close();
	}

	private void log(AnswerPart part) {
		this.responses.log("i-1@7", new MalformedAnswer("10.0.0.1:80", "asked", part, new ConnectionUse(12, 3, 45)));
	}

	// Guards against a line that does not say which target is in trouble.
	@Test
	void theLogNamesTheTargetTheRequestAndThePart() {
		log(AnswerPart.FIELD_NAME);
		assertThat(this.events.events(EventId.RESPONSE_MALFORMED)).containsExactly(Map.of("event", "PL-0517", "text",
				EventId.RESPONSE_MALFORMED.text(), "part", "field_name", "request", "asked", "target", "i-1@7",
				"address", "10.0.0.1:80", "connection", "12", "earlier_requests", "3"));
	}

	// Guards against counts that mix the parts up.
	@Test
	void eachPartIsCountedByItself() {
		for (final AnswerPart part : AnswerPart.values()) {
			final long[] before = counts();
			log(part);
			before[part.ordinal()]++;
			assertThat(counts()).containsExactly(before);
		}
	}

	private long[] counts() {
		return Arrays.stream(AnswerPart.values()).mapToLong(this.responses::count).toArray();
	}

}
