package org.pistachioline.daemon.event;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;

import org.apache.logging.log4j.core.Layout;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;

/**
 * Writes events to standard output, as many at once as wait for it.
 * <p>
 * The library's own appender for this checks itself by reflection over its annotations
 * when it is made, which costs each start of a process as much as the rest of logging.
 */
final class OutputAppender extends AbstractAppender {

	private final OutputStream output = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out));

	OutputAppender(String name, Layout<?> layout) {
		super(name, null, layout, true, Property.EMPTY_ARRAY);
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
			// The library reports it on standard error and goes on with the next event.
			throw new UncheckedIOException(ex);
		}
	}

	@Override
	public synchronized void stop() {
		try {
			this.output.flush();
		}
		catch (IOException ex) {
			// Nobody reads the output any more; there is nowhere else to say it.
			getHandler().error("The last events could not be written", ex);
		}
		super.stop();
	}

}
