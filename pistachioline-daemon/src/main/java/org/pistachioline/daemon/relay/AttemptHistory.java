package org.pistachioline.daemon.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import org.pistachioline.core.traffic.AttemptOutcome;

/**
 * Records how the attempts of one request ended and when a target last sent bytes for it.
 * Not thread-safe: all calls come from the event loop.
 */
final class AttemptHistory {

	/** Bounds the log line of a request whose attempts are withheld again and again. */
	private static final int MAX_ENTRIES = 8;

	private final List<String> endings = new ArrayList<>();

	private int omittedCount;

	private long lastBytesAtNanos;

	/**
	 * Creates an empty history.
	 * @param nowNanos the monotonic time
	 */
	AttemptHistory(long nowNanos) {
		this.lastBytesAtNanos = nowNanos;
	}

	void onEnd(String targetId, AttemptOutcome outcome) {
		if (this.endings.size() == MAX_ENTRIES) {
			this.endings.remove(0);
			this.omittedCount++;
		}
		this.endings.add(targetId + ' ' + outcome.name().toLowerCase(Locale.ROOT));
	}

	void onBytes(long nowNanos) {
		this.lastBytesAtNanos = nowNanos;
	}

	/**
	 * Returns how long no target has sent bytes for the request.
	 * @param nowNanos the monotonic time
	 * @return the time, in milliseconds; since the history's creation if none has sent
	 * any
	 */
	long silentMillis(long nowNanos) {
		return TimeUnit.NANOSECONDS.toMillis(nowNanos - this.lastBytesAtNanos);
	}

	/**
	 * Returns the targets with the outcomes of their attempts, the oldest first.
	 * @param runningAt the target of an attempt that has not ended; empty if there is
	 * none
	 * @return the list, such as {@code i-1@3 cancelled, i-2@4 running}
	 */
	String summary(String runningAt) {
		final List<String> entries = new ArrayList<>();
		if (this.omittedCount > 0) {
			entries.add(this.omittedCount + " earlier");
		}
		entries.addAll(this.endings);
		if (!runningAt.isEmpty()) {
			entries.add(runningAt + " running");
		}
		return String.join(", ", entries);
	}

}
