package org.pistachioline.daemon.event;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.pistachioline.core.event.EventId;

/**
 * A process that writes more events than a pipe and the buffer hold, and then a file.
 */
public final class EventBurst {

	private static final int EVENT_COUNT = 50_000;

	private EventBurst() {
	}

	/**
	 * Writes the events.
	 * @param args the file that is written in the end
	 * @throws IOException if it cannot be written
	 */
	public static void main(String[] args) throws IOException {
		for (int i = 0; i < EVENT_COUNT; i++) {
			Events.log(EventId.REQUEST_REFUSED, "request", i);
		}
		Files.writeString(Path.of(args[0]), "done");
	}

}
