package org.pistachioline.core.retry;

import org.pistachioline.core.traffic.AttemptEnd;
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
	RetryDecision afterFailure(long nowNanos, RequestInfo info, int attempts, AttemptEnd how);

	/**
	 * Notes a request that ended well.
	 * @param nowNanos the monotonic time
	 */
	void onSuccess(long nowNanos);

}
