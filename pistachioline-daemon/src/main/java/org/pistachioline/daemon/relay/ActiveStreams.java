package org.pistachioline.daemon.relay;

import java.util.HashSet;
import java.util.Set;

/**
 * Tracks the streams that are being relayed, so that one timer reports the progress of
 * all of them.
 */
final class ActiveStreams {

	/**
	 * A quarter of the time after which a target without progress counts as stalled.
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
	 * Reports the progress of each stream; called on the event loop.
	 */
	void reportProgress() {
		this.streams.forEach(SseEventForwarder::reportProgress);
	}

}
