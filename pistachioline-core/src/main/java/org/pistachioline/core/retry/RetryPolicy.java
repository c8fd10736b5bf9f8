package org.pistachioline.core.retry;

import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.RequestInfo;

/**
 * Decides whether a failed attempt is retried.
 */
public interface RetryPolicy {

	/**
	 * Decides whether to retry a request that may safely be sent again.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @param attempts the number of attempts made so far
	 * @param outcome how the last attempt ended
	 * @return the decision
	 */
	RetryDecision afterFailure(long nowNanos, RequestInfo info, int attempts, AttemptOutcome outcome);

	/**
	 * Takes one attempt from the budget for the migration of a running stream, if the
	 * budget allows it.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @return whether the stream may be migrated
	 */
	default boolean tryAcquireForMigration(long nowNanos, RequestInfo info) {
		return true;
	}

	/**
	 * Takes one attempt from the budget for a stream that was interrupted and waits to be
	 * continued.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @return whether the stream may be sent to a target now
	 */
	boolean tryAcquireToContinue(long nowNanos, RequestInfo info);

	/**
	 * Records the arrival of a request.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 */
	default void onArrival(long nowNanos, RequestInfo info) {
		// A budget that depends on successes does not count arrivals.
	}

	/**
	 * Records the successful end of a request.
	 * @param nowNanos the monotonic time
	 */
	void onSuccess(long nowNanos);

}
