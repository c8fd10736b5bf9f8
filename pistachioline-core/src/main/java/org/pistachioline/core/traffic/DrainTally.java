package org.pistachioline.core.traffic;

/**
 * Counts the requests that a leaving daemon accepted and refused lately, that is, in the
 * current and in the previous window.
 */
final class DrainTally {

	private static final long WINDOW_NANOS = 250_000_000L;

	private long windowStartedAtNanos;

	private boolean started;

	private int accepted;

	private int refused;

	private int previousAccepted;

	private int previousRefused;

	void add(long nowNanos, boolean isAccepted) {
		rotate(nowNanos);
		if (isAccepted) {
			this.accepted++;
		}
		else {
			this.refused++;
		}
	}

	int accepted(long nowNanos) {
		rotate(nowNanos);
		return this.accepted + this.previousAccepted;
	}

	int refused(long nowNanos) {
		rotate(nowNanos);
		return this.refused + this.previousRefused;
	}

	private void rotate(long nowNanos) {
		final long elapsedNanos = nowNanos - this.windowStartedAtNanos;
		if (this.started && elapsedNanos < WINDOW_NANOS) {
			return;
		}
		final boolean adjacent = this.started && elapsedNanos < 2 * WINDOW_NANOS;
		this.previousAccepted = adjacent ? this.accepted : 0;
		this.previousRefused = adjacent ? this.refused : 0;
		this.accepted = 0;
		this.refused = 0;
		this.windowStartedAtNanos = adjacent ? this.windowStartedAtNanos + WINDOW_NANOS : nowNanos;
		this.started = true;
	}

}
