package org.pistachioline.core.traffic;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;

/**
 * What the adapters must do next for a request.
 */
public sealed interface TrafficAction {

	/**
	 * Returns the request that it is about.
	 * @return the request's id
	 */
	long requestId();

	/**
	 * Sends an attempt to a target.
	 *
	 * @param attempt the attempt
	 * @param target the target
	 * @param resumeFromTokens how many tokens the caller has already
	 */
	record Start(AttemptId attempt, TargetView target, int resumeFromTokens) implements TrafficAction {

		@Override
		public long requestId() {
			return this.attempt.requestId();
		}

	}

	/**
	 * Reports a target that stands still while it holds a request.
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
	 * @param runState whether it may have run
	 * @param retryAfterMillis when the caller may come back; 0 where it is not said
	 */
	record Fail(long requestId, ErrorKind kind, RunState runState, long retryAfterMillis) implements TrafficAction {
	}

	/**
	 * Claims the request's key on the log.
	 *
	 * @param requestId the request
	 * @param info the request
	 */
	record Claim(long requestId, RequestInfo info) implements TrafficAction {
	}

	/**
	 * Gives back a claim under which no byte was sent.
	 *
	 * @param requestId the request
	 * @param info the request
	 * @param claimOffset the claim's offset
	 */
	record Release(long requestId, RequestInfo info, long claimOffset) implements TrafficAction {
	}

	/**
	 * Answers with the stored outcome of the first request with this key.
	 *
	 * @param requestId the request
	 * @param info the request
	 */
	record Replay(long requestId, RequestInfo info) implements TrafficAction {
	}

	/**
	 * Reports that a group died under a request.
	 *
	 * @param requestId the request
	 * @param fingerprint the request's fingerprint
	 * @param target the target that died
	 * @param quarantine whether the request is to be barred
	 */
	record ReportSuspect(long requestId, String fingerprint, TargetView target,
			boolean quarantine) implements TrafficAction {
	}

}
