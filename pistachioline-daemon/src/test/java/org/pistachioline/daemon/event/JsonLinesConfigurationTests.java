package org.pistachioline.daemon.event;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.message.StringMapMessage;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class JsonLinesConfigurationTests {

	/**
	 * Guards against the loss of the events of a shutdown: a daemon drains for seconds
	 * after the signal to stop, and its last events name the requests that it abandoned.
	 */
	@Test
	void loggingContinuesUntilTheDaemonStops() {
		assertThat(new JsonLinesConfiguration().isShutdownHookEnabled()).isFalse();
	}

	// Guards against a process that takes a second longer to end, since it waits for a
	// second thread of the buffer.
	@Test
	void stoppingEndsTheOnlyThreadOfTheBuffer() {
		final List<Thread> before = bufferThreads();
		final JsonLinesConfiguration configuration = new JsonLinesConfiguration();
		configuration.start();
		assertThat(bufferThreads()).hasSize(before.size() + 1);
		configuration.stop();
		assertThat(bufferThreads()).hasSameSizeAs(before);
	}

	private static List<Thread> bufferThreads() {
		return Thread.getAllStackTraces()
			.keySet()
			.stream()
			.filter((thread) -> thread.getName().contains("AsyncAppenderEventDispatcher"))
			.toList();
	}

	// Guards against the loss of the last event, which is written without a flush if the
	// buffer stops meanwhile.
	@Test
	void stoppingWritesTheLastEvents() {
		final ByteArrayOutputStream output = new ByteArrayOutputStream();
		final OutputAppender appender = new OutputAppender("output", new JsonLinesLayout(), output);
		appender.start();
		appender.append(Log4jLogEvent.newBuilder().setMessage(new StringMapMessage().with("event", "PL-0102")).build());
		appender.stop(1, TimeUnit.SECONDS);
		assertThat(output.toString(StandardCharsets.UTF_8)).contains("PL-0102");
	}

}
