package org.pistachioline.daemon.relay;

import java.util.HashSet;
import java.util.Set;

/**
 * The streams that are being relayed; one timer asks all of them for their progress.
 */
final class ActiveStreams {

	/**
	 * Four times within the time after which a silent target counts as standing still.
	 */
	static final long PROGRESS_INTERVAL_MILLIS = 150;

	private final Set<SseEventForwarder> streams = new HashSet<>();

	void add(SseEventForwarder stream) {
		this.streams.add(stream);
	}

	void remove(SseEventForwarder stream) {
		this.streams.remove(stream);
	}

	/**
	 * Lets each stream tell how far it is; called on the loop's thread.
	 */
	void reportProgress() {
		this.streams.forEach(SseEventForwarder::reportProgress);
	}

}
