package org.pistachioline.daemon.event;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.message.StringMapMessage;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.event.EventLevel;

/**
 * Writes numbered events; no key, prompt or answer text may be given as a value.
 */
public final class Events {

	static final String LOGGER_NAME = "pistachioline";

	private static final String FORMAT_PROPERTY = "pistachioline.logging.format";

	private static final String JSON = "json";

	private static final Logger LOGGER = createLogger();

	private Events() {
	}

	// Lines of JSON need no configuration file; all other forms are described by one.
	private static Logger createLogger() {
		if (JSON.equals(System.getProperty(FORMAT_PROPERTY))) {
			Configurator.initialize(Events.class.getClassLoader(), new JsonLinesConfiguration());
		}
		return LogManager.getLogger(LOGGER_NAME);
	}

	/**
	 * Configures logging by the form that {@code pistachioline.logging.format} names; to
	 * be called before any library makes a logger, which would read the file of the other
	 * forms.
	 */
	public static void configure() {
		// Loading this class has configured it.
	}

	/**
	 * Writes an event.
	 * @param event the event
	 * @param fields names and values, by turns
	 */
	public static void log(EventId event, Object... fields) {
		LOGGER.log(levelOf(event), message(event, fields));
	}

	/**
	 * Writes an event with its cause.
	 * @param event the event
	 * @param cause what led to it
	 * @param fields names and values, by turns
	 */
	public static void log(EventId event, Throwable cause, Object... fields) {
		final StringMapMessage message = message(event, fields);
		message.put("cause", String.valueOf(cause));
		LOGGER.log(levelOf(event), message);
	}

	/**
	 * Writes what is still in the buffer and ends logging; to be called last of all.
	 */
	public static void close() {
		LogManager.shutdown();
	}

	private static StringMapMessage message(EventId event, Object... fields) {
		final StringMapMessage message = new StringMapMessage();
		message.put("event", event.label());
		message.put("text", event.text());
		for (int i = 0; i + 1 < fields.length; i += 2) {
			message.put(String.valueOf(fields[i]), String.valueOf(fields[i + 1]));
		}
		return message;
	}

	private static Level levelOf(EventId event) {
		if (event.level() == EventLevel.ERROR) {
			return Level.ERROR;
		}
		return (event.level() == EventLevel.WARN) ? Level.WARN : Level.INFO;
	}

}
