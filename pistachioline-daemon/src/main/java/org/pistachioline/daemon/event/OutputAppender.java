package org.pistachioline.daemon.event;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.concurrent.TimeUnit;

import org.apache.logging.log4j.core.Layout;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;

/**
 * Log4j appender that writes events to standard output and flushes once per batch.
 * <p>
 * It replaces Log4j's console appender, which validates itself by reflection over its
 * annotations; that takes as long at each start of a process as the rest of logging.
 */
final class OutputAppender extends AbstractAppender {

	private final OutputStream output;

	OutputAppender(String name, Layout<?> layout) {
		this(name, layout, new FileOutputStream(FileDescriptor.out));
	}

	OutputAppender(String name, Layout<?> layout, OutputStream output) {
		super(name, null, layout, true, Property.EMPTY_ARRAY);
		this.output = new BufferedOutputStream(output);
	}

	@Override
	public synchronized void append(LogEvent event) {
		try {
			this.output.write(getLayout().toByteArray(event));
			if (event.isEndOfBatch()) {
				this.output.flush();
			}
		}
		catch (IOException ex) {
			// Log4j reports it on standard error and continues with the next event.
			throw new UncheckedIOException(ex);
		}
	}

	@Override
	public synchronized boolean stop(long timeout, TimeUnit timeUnit) {
		try {
			this.output.flush();
		}
		catch (IOException ex) {
			// The reader has closed standard output; this reports to standard error.
			getHandler().error("Could not flush the last events to standard output", ex);
		}
		return super.stop(timeout, timeUnit);
	}

}
