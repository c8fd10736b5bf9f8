package org.pistachioline.core.traffic;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;

/**
 * A side effect that the traffic core asks its caller to carry out for a request.
 */
public sealed interface TrafficAction {

	/**
	 * Returns the request that the action concerns.
	 * @return the request's id
	 */
	long requestId();

	/**
	 * Sends an attempt to a target.
	 *
	 * @param attempt the attempt
	 * @param target the target
	 * @param resumeFromTokens how many tokens the caller has already received
	 */
	record Start(AttemptId attempt, TargetView target, int resumeFromTokens) implements TrafficAction {

		@Override
		public long requestId() {
			return this.attempt.requestId();
		}

	}

	/**
	 * Reports a target that has stalled while it runs a request.
	 *
	 * @param requestId the request
	 * @param targetId the target
	 */
	record ReportStall(long requestId, String targetId) implements TrafficAction {

	}

	/**
	 * Cancels an attempt at its target.
	 *
	 * @param attempt the attempt
	 */
	record Cancel(AttemptId attempt) implements TrafficAction {

		@Override
		public long requestId() {
			return this.attempt.requestId();
		}

	}

	/**
	 * Ends a request with success.
	 *
	 * @param requestId the request
	 */
	record Finish(long requestId) implements TrafficAction {
	}

	/**
	 * Ends a request with a failure.
	 *
	 * @param requestId the request
	 * @param kind the error kind
	 * @param runState whether the request may have run
	 * @param retryAfterMillis after which delay the caller may retry; 0 if none is stated
	 * @param reason the decision that failed it
	 */
	record Fail(long requestId, ErrorKind kind, RunState runState, long retryAfterMillis,
			FailureReason reason) implements TrafficAction {
	}

	/**
	 * Claims the request's idempotency key on the log.
	 *
	 * @param requestId the request
	 * @param info the request
	 */
	record Claim(long requestId, RequestInfo info) implements TrafficAction {
	}

	/**
	 * Releases a claim under which no byte was sent.
	 *
	 * @param requestId the request
	 * @param info the request
	 * @param claimOffset the claim's offset on the log
	 */
	record Release(long requestId, RequestInfo info, long claimOffset) implements TrafficAction {
	}

	/**
	 * Responds with the stored outcome of the first request with this key.
	 *
	 * @param requestId the request
	 * @param info the request
	 */
	record Replay(long requestId, RequestInfo info) implements TrafficAction {
	}

	/**
	 * Reports a request that was running on a group when the group crashed.
	 *
	 * @param requestId the request
	 * @param fingerprint the request's fingerprint
	 * @param target the target that crashed
	 * @param quarantine whether the request is to be quarantined
	 */
	record ReportSuspect(long requestId, String fingerprint, TargetView target,
			boolean quarantine) implements TrafficAction {
	}

}
