package org.pistachioline.daemon.event;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.message.StringMapMessage;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.event.EventLevel;

/**
 * Logs numbered events. No key, prompt or response text may be logged as a field's value.
 */
public final class Events {

	static final String LOGGER_NAME = "pistachioline";

	private static final String FORMAT_PROPERTY = "pistachioline.logging.format";

	private static final String JSON = "json";

	private static final Logger LOGGER = createLogger();

	private Events() {
	}

	// The JSON format is configured in code, other formats by Log4j's configuration file.
	private static Logger createLogger() {
		if (JSON.equals(System.getProperty(FORMAT_PROPERTY))) {
			Configurator.initialize(Events.class.getClassLoader(), new JsonLinesConfiguration());
		}
		return LogManager.getLogger(LOGGER_NAME);
	}

	/**
	 * Configures logging for the format in the system property
	 * {@code pistachioline.logging.format}. It must be called before any library creates
	 * a logger, since that would load Log4j's configuration file instead.
	 */
	public static void configure() {
		// The static initializer has done the work.
	}

	/**
	 * Logs an event at its level.
	 * @param event the event
	 * @param fields alternating names and values of its fields
	 */
	public static void log(EventId event, Object... fields) {
		LOGGER.log(levelOf(event), message(event, fields));
	}

	/**
	 * Logs an event at its level, with the exception as its field {@code cause}.
	 * @param event the event
	 * @param cause the exception that led to it
	 * @param fields alternating names and values of its fields
	 */
	public static void log(EventId event, Throwable cause, Object... fields) {
		final StringMapMessage message = message(event, fields);
		message.put("cause", String.valueOf(cause));
		LOGGER.log(levelOf(event), message);
	}

	/**
	 * Flushes buffered events and stops logging. Later events are lost, so it must be the
	 * last step of a shutdown.
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
