package org.pistachioline.daemon.event;

import java.nio.charset.StandardCharsets;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.core.time.MutableInstant;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.SimpleMessage;
import org.apache.logging.log4j.message.StringMapMessage;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class JsonLinesLayoutTests {

	private final JsonLinesLayout layout = new JsonLinesLayout();

	private String lineOf(Message message, Throwable thrown) {
		final MutableInstant instant = new MutableInstant();
		instant.initFromEpochMilli(1_764_744_603_007L, 0);
		final LogEvent event = Log4jLogEvent.newBuilder()
			.setLoggerName("pistachioline")
			.setLevel(Level.WARN)
			.setThreadName("relay")
			.setMessage(message)
			.setThrown(thrown)
			.setInstant(instant)
			.build();
		return new String(this.layout.toByteArray(event), StandardCharsets.UTF_8);
	}

	@Test
	void anEventIsOneLineWithItsFieldsAsAnObject() {
		final StringMapMessage message = new StringMapMessage();
		message.put("event", "PL-0100");
		message.put("text", "a \"quoted\"\nline");
		assertThat(lineOf(message, null))
			.isEqualTo("{\"timestamp\":\"2025-12-03T06:50:03.007Z\",\"level\":\"WARN\",\"logger\":\"pistachioline\","
					+ "\"thread\":\"relay\",\"message\":{\"event\":\"PL-0100\",\"text\":\"a \\\"quoted\\\"\\nline\"}}\n");
	}

	@Test
	void aLibraryMessageIsOneLineWithItsException() {
		assertThat(lineOf(new SimpleMessage("it broke"), new IllegalStateException("why")))
			.endsWith("\"message\":\"it broke\",\"exception\":\"why\"}\n");
	}

}
