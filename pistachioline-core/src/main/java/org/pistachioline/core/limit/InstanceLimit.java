package org.pistachioline.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/**
 * The limit of one instance and what this daemon sends there.
 */
final class InstanceLimit {

	private static final long RECENT_NANOS = 4_000_000_000L;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final Deque<Long> startsNanos = new ArrayDeque<>();

	private StatedLimit stated;

	InstanceLimit(StatedLimit stated) {
		this.stated = stated;
	}

	StatedLimit stated() {
		return this.stated;
	}

	boolean isLimited() {
		return this.stated.requestsPerSecond().isPresent();
	}

	/**
	 * Takes newer word.
	 * @param word the word
	 * @return whether it says something else than the last
	 */
	boolean hear(StatedLimit word) {
		final OptionalDouble before = this.stated.requestsPerSecond();
		this.stated = word;
		return !before.equals(word.requestsPerSecond());
	}

	void onStart(long nowNanos) {
		this.startsNanos.addLast(nowNanos);
		forgetOld(nowNanos);
	}

	private void forgetOld(long nowNanos) {
		while (!this.startsNanos.isEmpty() && nowNanos - this.startsNanos.peekFirst() > RECENT_NANOS) {
			this.startsNanos.removeFirst();
		}
	}

	LimitReport report(long nowNanos) {
		forgetOld(nowNanos);
		return new LimitReport(this.stated.instanceId(), this.stated.requestsPerSecond().orElse(0),
				(nowNanos - this.stated.heardAtNanos()) / NANOS_PER_MILLI, this.startsNanos.size());
	}

}
