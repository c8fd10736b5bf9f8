package org.pistachioline.core.placement;

import org.pistachioline.core.traffic.TargetView;

/**
 * Estimates how many attempts other daemons have in flight at a target: the load that the
 * target reported, less this daemon's own attempts at the time of the report.
 */
final class PeerInFlightEstimate {

	/** The smoothing weight of one report, since each shows a single moment. */
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
	 * Updates the estimate from a newer view.
	 * @param view the view
	 * @param nowNanos the monotonic time
	 * @param ownInFlight the number of attempts that this daemon has in flight there now
	 */
	void update(TargetView view, long nowNanos, int ownInFlight) {
		if (view.reportedAtNanos() != this.reportedAtNanos) {
			final int reported = view.reportedRunning() + view.reportedWaiting();
			final int peers = Math.max(0, reported - ownInFlightAt(view.reportedAtNanos()));
			this.attempts += REPORT_WEIGHT * (peers - this.attempts);
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
	 * Returns the estimated number of attempts of other daemons.
	 * @return the moving average over the reports
	 */
	double attempts() {
		return this.attempts;
	}

}
