package org.pistachioline.core.retry;

import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.RequestInfo;

/**
 * Decides whether a failed attempt is followed by another.
 */
public interface RetryPolicy {

	/**
	 * Decides after a failure of a request that may be sent again.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @param attempts how many attempts were made
	 * @param how how the last one ended
	 * @return the decision
	 */
	RetryDecision afterFailure(long nowNanos, RequestInfo info, int attempts, AttemptOutcome how);

	/**
	 * Decides whether a running stream may be moved to another target.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @return whether the budget has room for another attempt; it is taken where it has
	 */
	default boolean tryAcquireForMigration(long nowNanos, RequestInfo info) {
		return true;
	}

	/**
	 * Notes a request that arrived.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 */
	default void onArrival(long nowNanos, RequestInfo info) {
		// A budget that successes earn needs no arrivals.
	}

	/**
	 * Notes a request that ended well.
	 * @param nowNanos the monotonic time
	 */
	void onSuccess(long nowNanos);

}
