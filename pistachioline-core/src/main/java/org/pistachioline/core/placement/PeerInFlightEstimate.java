package org.pistachioline.core.placement;

import org.pistachioline.core.traffic.TargetView;

/**
 * How many attempts other daemons have in flight at a target, by its reports: what it
 * said to have, without this daemon's own attempts at that time.
 */
final class PeerInFlightEstimate {

	/** Weighs one report of several, since each shows a moment only. */
	private static final double REPORT_WEIGHT = 0.3;

	private static final int HISTORY = 16;

	private final long[] historyNanos = new long[HISTORY];

	private final int[] historyInFlight = new int[HISTORY];

	private int historyNext;

	private long reportedAtNanos;

	private double attempts;

	PeerInFlightEstimate(TargetView view, long nowNanos) {
		this.attempts = view.reportedRunning() + view.reportedWaiting();
		this.reportedAtNanos = view.reportedAtNanos();
		this.historyNanos[0] = nowNanos;
		this.historyNext = 1;
	}

	/**
	 * Takes over a newer view.
	 * @param view the view
	 * @param nowNanos the monotonic time
	 * @param ownInFlight this daemon's attempts there now
	 */
	void update(TargetView view, long nowNanos, int ownInFlight) {
		if (view.reportedAtNanos() != this.reportedAtNanos) {
			final int reported = view.reportedRunning() + view.reportedWaiting();
			final int others = Math.max(0, reported - ownInFlightAt(view.reportedAtNanos()));
			this.attempts += REPORT_WEIGHT * (others - this.attempts);
		}
		this.reportedAtNanos = view.reportedAtNanos();
		this.historyNanos[this.historyNext % HISTORY] = nowNanos;
		this.historyInFlight[this.historyNext % HISTORY] = ownInFlight;
		this.historyNext++;
	}

	private int ownInFlightAt(long atNanos) {
		final int oldest = Math.max(0, this.historyNext - HISTORY);
		for (int i = this.historyNext - 1; i >= oldest; i--) {
			if (this.historyNanos[i % HISTORY] <= atNanos) {
				return this.historyInFlight[i % HISTORY];
			}
		}
		return this.historyInFlight[oldest % HISTORY];
	}

	/**
	 * Returns their attempts.
	 * @return the mean over the last reports
	 */
	double attempts() {
		return this.attempts;
	}

}
