package org.pistachioline.daemon.event;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.LoggerConfig;

/**
 * Logs events as lines of JSON on standard output.
 * <p>
 * It is assembled in code. The library would find a file by trying the readers of five
 * formats, parse it and make objects of it by reflection, in each start of a process
 * whose callers wait.
 */
final class JsonLinesConfiguration extends AbstractConfiguration {

	private static final String OUTPUT_APPENDER = "json-output";

	private static final String BUFFER_APPENDER = "json";

	/** Some seconds of a daemon's events while whoever reads the output does not. */
	private static final int BUFFER_CAPACITY_EVENTS = 8_192;

	/** What is buffered when a process ends is written within this time, or lost. */
	private static final long FLUSH_TIMEOUT_MILLIS = 1_000;

	JsonLinesConfiguration() {
		super(null, ConfigurationSource.NULL_SOURCE);
		setName("json-lines");
		// A process that is told to stop drains for seconds, and its last events tell
		// what
		// it still held. The library's own hook would end logging at the signal.
		this.isShutdownHookEnabled = false;
	}

	@Override
	protected void doConfigure() {
		final OutputAppender output = new OutputAppender(OUTPUT_APPENDER, new JsonLinesLayout());
		output.start();
		addAppender(output);
		addBuffer();
		final LoggerConfig events = new LoggerConfig(Events.LOGGER_NAME, Level.INFO, true);
		addLogger(Events.LOGGER_NAME, events);
		getRootLogger().setLevel(Level.WARN);
	}

	// Whoever reads the output may stop reading. Then a duty that logs must not stand
	// still: a full buffer drops events, and says so on standard error.
	private void addBuffer() {
		final AsyncAppender buffer = AsyncAppender.newBuilder()
			.setName(BUFFER_APPENDER)
			.setAppenderRefs(new AppenderRef[] { AppenderRef.createAppenderRef(OUTPUT_APPENDER, null, null) })
			.setBlocking(false)
			.setBufferSize(BUFFER_CAPACITY_EVENTS)
			.setShutdownTimeout(FLUSH_TIMEOUT_MILLIS)
			.setConfiguration(this)
			.build();
		buffer.start();
		addAppender(buffer);
		getRootLogger().addAppender(buffer, null, null);
	}

}
