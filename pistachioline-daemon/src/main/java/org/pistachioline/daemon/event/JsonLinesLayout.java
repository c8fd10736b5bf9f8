package org.pistachioline.daemon.event;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.LocalDateTime;
import java.time.ZoneOffset;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;
import org.apache.logging.log4j.message.MapMessage;
import org.apache.logging.log4j.message.Message;

/**
 * Writes each event as one line of JSON, with the fields of an event as an object.
 * <p>
 * A layout that the library assembles from a template would be parsed and built in each
 * start of a process, before it can serve anybody.
 */
final class JsonLinesLayout extends AbstractStringLayout {

	private static final JsonFactory JSON = new JsonFactory();

	private static final int INITIAL_LINE_CHARS = 512;

	private static final int NANOS_PER_MILLI = 1_000_000;

	JsonLinesLayout() {
		super(StandardCharsets.UTF_8);
	}

	@Override
	public String toSerializable(LogEvent event) {
		final StringWriter line = new StringWriter(INITIAL_LINE_CHARS);
		try (JsonGenerator json = JSON.createGenerator(line)) {
			json.writeStartObject();
			json.writeStringField("timestamp", timestamp(event));
			json.writeStringField("level", event.getLevel().name());
			json.writeStringField("logger", event.getLoggerName());
			json.writeStringField("thread", event.getThreadName());
			writeMessage(json, event.getMessage());
			if (event.getThrown() != null) {
				json.writeStringField("exception", String.valueOf(event.getThrown().getMessage()));
			}
			json.writeEndObject();
		}
		catch (IOException ex) {
			// A writer in memory does not fail.
			throw new UncheckedIOException(ex);
		}
		return line.append('\n').toString();
	}

	private static void writeMessage(JsonGenerator json, Message message) throws IOException {
		if (!(message instanceof MapMessage<?, ?> fields)) {
			json.writeStringField("message", message.getFormattedMessage());
			return;
		}
		json.writeObjectFieldStart("message");
		fields.forEach((name, value) -> {
			try {
				json.writeStringField(name, String.valueOf(value));
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		});
		json.writeEndObject();
	}

	// Without a formatter, whose parsed pattern and locale cost more than all else here.
	private static String timestamp(LogEvent event) {
		final LocalDateTime time = LocalDateTime.ofEpochSecond(event.getInstant().getEpochSecond(),
				event.getInstant().getNanoOfSecond(), ZoneOffset.UTC);
		final StringBuilder text = new StringBuilder(time.toLocalDate().toString());
		pad(text.append('T'), time.getHour(), 2);
		pad(text.append(':'), time.getMinute(), 2);
		pad(text.append(':'), time.getSecond(), 2);
		pad(text.append('.'), time.getNano() / NANOS_PER_MILLI, 3);
		return text.append('Z').toString();
	}

	private static void pad(StringBuilder text, int number, int digits) {
		final String written = Integer.toString(number);
		text.append("0".repeat(digits - written.length())).append(written);
	}

}
