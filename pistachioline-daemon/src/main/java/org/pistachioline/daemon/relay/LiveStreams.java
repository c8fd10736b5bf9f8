package org.pistachioline.daemon.relay;

import java.util.HashSet;
import java.util.Set;

/**
 * The streams that are being relayed; one timer asks all of them for their progress.
 */
final class LiveStreams {

	/**
	 * Four times within the time after which a silent target counts as standing still.
	 */
	static final long REPORT_MILLIS = 150;

	private final Set<EventRelay> streams = new HashSet<>();

	void add(EventRelay stream) {
		this.streams.add(stream);
	}

	void remove(EventRelay stream) {
		this.streams.remove(stream);
	}

	/**
	 * Lets each stream tell how far it is; called on the loop's thread.
	 */
	void report() {
		this.streams.forEach(EventRelay::report);
	}

}
