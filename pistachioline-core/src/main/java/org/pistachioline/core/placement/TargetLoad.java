package org.pistachioline.core.placement;

import org.pistachioline.core.traffic.AttemptEnd;
import org.pistachioline.core.traffic.TargetView;

/**
 * What one daemon has in flight at a target, beside the target's last view.
 */
public final class TargetLoad {

	private TargetView view;

	private final long knownSinceNanos;

	private int inFlight;

	private long inFlightTokens;

	private int consecutiveFailures;

	private long lastFailureNanos;

	/**
	 * Creates the load of a target that was just learnt of.
	 * @param view the target's view
	 * @param nowNanos the monotonic time
	 */
	public TargetLoad(TargetView view, long nowNanos) {
		this.view = view;
		this.knownSinceNanos = nowNanos;
	}

	/**
	 * Takes over a newer view.
	 * @param newView the view
	 * @param nowNanos the monotonic time
	 */
	public void update(TargetView newView, long nowNanos) {
		this.view = newView;
	}

	/**
	 * Counts an attempt that starts.
	 * @param nowNanos the monotonic time
	 * @param costTokens the request's cost
	 */
	public void onStart(long nowNanos, long costTokens) {
		this.inFlight++;
		this.inFlightTokens += costTokens;
	}

	/**
	 * Notes an attempt's first token.
	 * @param nowNanos the monotonic time
	 * @param arrivedAtNanos when the request arrived
	 */
	public void onFirstToken(long nowNanos, long arrivedAtNanos) {
		this.consecutiveFailures = 0;
	}

	/**
	 * Counts an attempt that ends.
	 * @param nowNanos the monotonic time
	 * @param costTokens the request's cost
	 * @param how how it ended
	 */
	public void onEnd(long nowNanos, long costTokens, AttemptEnd how) {
		this.inFlight--;
		this.inFlightTokens -= costTokens;
		if (how == AttemptEnd.COMPLETE) {
			this.consecutiveFailures = 0;
		}
		else if (how != AttemptEnd.CANCELLED) {
			this.consecutiveFailures++;
			this.lastFailureNanos = nowNanos;
		}
	}

	/**
	 * Returns the target's last view.
	 * @return the view
	 */
	public TargetView view() {
		return this.view;
	}

	/**
	 * Returns when this daemon learnt of the target.
	 * @return the monotonic time, in nanoseconds
	 */
	public long knownSinceNanos() {
		return this.knownSinceNanos;
	}

	/**
	 * Returns how many attempts of this daemon are in flight there.
	 * @return the number of attempts
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns the cost of this daemon's attempts there.
	 * @return the cost in tokens
	 */
	public long inFlightTokens() {
		return this.inFlightTokens;
	}

	/**
	 * Returns how many attempts failed there in a row.
	 * @return the number of failures
	 */
	public int consecutiveFailures() {
		return this.consecutiveFailures;
	}

	/**
	 * Returns when an attempt last failed there.
	 * @return the monotonic time, in nanoseconds
	 */
	public long lastFailureNanos() {
		return this.lastFailureNanos;
	}

}
