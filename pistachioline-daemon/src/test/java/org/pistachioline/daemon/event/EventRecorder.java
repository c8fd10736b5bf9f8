package org.pistachioline.daemon.event;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.Logger;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;
import org.apache.logging.log4j.message.StringMapMessage;

import org.pistachioline.core.event.EventId;

/**
 * Records the numbered events that are logged until it is closed.
 */
public final class EventRecorder implements AutoCloseable {

	private final Logger logger = (Logger) LogManager.getLogger(Events.LOGGER_NAME);

	private final RecordingAppender appender = new RecordingAppender();

	/**
	 * Starts recording.
	 */
	public EventRecorder() {
		this.appender.start();
		this.logger.addAppender(this.appender);
	}

	/**
	 * Returns the recorded events with one id.
	 * @param event the id
	 * @return the fields of each event, in the order of their logging
	 */
	public List<Map<String, String>> events(EventId event) {
		return this.appender.recorded.stream().filter((fields) -> event.label().equals(fields.get("event"))).toList();
	}

	@Override
	public void close() {
		this.logger.removeAppender(this.appender);
		this.appender.stop();
	}

	private static final class RecordingAppender extends AbstractAppender {

		private final Queue<Map<String, String>> recorded = new ConcurrentLinkedQueue<>();

		RecordingAppender() {
			super("recorder", null, null, true, Property.EMPTY_ARRAY);
		}

		@Override
		public void append(LogEvent event) {
			if (event.getMessage() instanceof StringMapMessage message) {
				this.recorded.add(Map.copyOf(message.getData()));
			}
		}

	}

}
