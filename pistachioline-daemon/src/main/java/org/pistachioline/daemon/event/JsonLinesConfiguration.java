package org.pistachioline.daemon.event;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.LoggerConfig;

/**
 * Log4j configuration that writes events to standard output as JSON lines.
 * <p>
 * It is built in code to shorten the start of a process. To load a configuration file,
 * Log4j tries the parsers of five formats and creates its objects by reflection.
 */
final class JsonLinesConfiguration extends AbstractConfiguration {

	private static final String OUTPUT_APPENDER = "json-output";

	private static final String BUFFER_APPENDER = "json";

	/** Holds some seconds of a daemon's events while standard output is blocked. */
	private static final int BUFFER_CAPACITY_EVENTS = 8_192;

	/** Buffered events that are not written within this time at shutdown are lost. */
	private static final long FLUSH_TIMEOUT_MILLIS = 1_000;

	JsonLinesConfiguration() {
		super(null, ConfigurationSource.NULL_SOURCE);
		setName("json-lines");
		// A daemon drains for seconds after the signal to stop, and its last events name
		// the requests that it still held. Log4j's hook would stop logging at the signal.
		this.isShutdownHookEnabled = false;
	}

	@Override
	protected void doConfigure() {
		final OutputAppender output = new OutputAppender(OUTPUT_APPENDER, new JsonLinesLayout());
		addAppender(output);
		addBuffer();
		final LoggerConfig events = new LoggerConfig(Events.LOGGER_NAME, Level.INFO, true);
		addLogger(Events.LOGGER_NAME, events);
		getRootLogger().setLevel(Level.WARN);
	}

	// The appenders are started with the configuration. Started here too, the buffer
	// would have two threads, and a stop would wait for the one that is not told to end.
	//
	// The process that reads standard output may stop reading. A duty must not block on
	// logging then: a full buffer drops events and reports it on standard error.
	private void addBuffer() {
		final AsyncAppender buffer = AsyncAppender.newBuilder()
			.setName(BUFFER_APPENDER)
			.setAppenderRefs(new AppenderRef[] { AppenderRef.createAppenderRef(OUTPUT_APPENDER, null, null) })
			.setBlocking(false)
			.setBufferSize(BUFFER_CAPACITY_EVENTS)
			.setShutdownTimeout(FLUSH_TIMEOUT_MILLIS)
			.setConfiguration(this)
			.build();
		addAppender(buffer);
		getRootLogger().addAppender(buffer, null, null);
	}

}
