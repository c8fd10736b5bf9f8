package org.pistachioline.daemon.event;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.pistachioline.core.event.EventId;

/**
 * Main class that logs more events than a pipe and the log buffer hold, then writes a
 * file.
 */
public final class EventBurst {

	private static final int EVENT_COUNT = 50_000;

	private EventBurst() {
	}

	/**
	 * Logs the events, then writes the file.
	 * @param args the path of the file
	 * @throws IOException if it cannot be written
	 */
	public static void main(String[] args) throws IOException {
		for (int i = 0; i < EVENT_COUNT; i++) {
			Events.log(EventId.REQUEST_REFUSED, "request", i);
		}
		Files.writeString(Path.of(args[0]), "done");
	}

}
