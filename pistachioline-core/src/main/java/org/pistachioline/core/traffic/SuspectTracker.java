package org.pistachioline.core.traffic;

import org.pistachioline.core.quarantine.CrashVerdict;
import org.pistachioline.core.quarantine.QuarantinePolicy;

/**
 * Reports the requests that were running on a group when it crashed, delays their next
 * run, and clears those that get past the point of the crash.
 */
final class SuspectTracker {

	/**
	 * A suspect is cleared after this many tokens beyond the point of the crash. The
	 * number exceeds the tokens that a crashing group had generated but not delivered.
	 */
	private static final int TOKENS_TO_CLEAR_SUSPECT = 16;

	/**
	 * The delay before a suspect runs a second time. A copy of the request may have
	 * crashed another group at another daemon at the same moment; after a few appends to
	 * the log both daemons know of both crashes.
	 */
	private static final long SUSPECT_WAIT_NANOS = 300_000_000L;

	/**
	 * The delay for a suspect that was already delivering tokens. Most crashing requests
	 * crash a group before their first token, so suspects without output run first; when
	 * one of them proves to be the cause, the others are cleared.
	 */
	private static final long UNLIKELY_SUSPECT_WAIT_NANOS = 1_000_000_000L;

	private final QuarantinePolicy quarantine;

	private final SuspectIsolation isolation;

	private final ActiveRequests activeRequests;

	SuspectTracker(QuarantinePolicy quarantine, SuspectIsolation isolation, ActiveRequests activeRequests) {
		this.quarantine = quarantine;
		this.isolation = isolation;
		this.activeRequests = activeRequests;
	}

	void onTokens(long nowNanos, ActiveRequest request) {
		if (request.tokensDelivered > request.resumedFromTokens) {
			this.isolation.onOutput(request);
		}
		if (request.isolated && request.tokensDelivered >= request.resumedFromTokens + TOKENS_TO_CLEAR_SUSPECT) {
			this.quarantine.onRunPastCrash(nowNanos, request.info.fingerprint(), false);
			this.isolation.release(request);
		}
	}

	void onBrokenAttempt(long nowNanos, ActiveRequest request) {
		if (request.info.targetKind() != TargetKind.MODEL) {
			return;
		}
		final CrashVerdict verdict = this.quarantine.onBrokenAttempt(nowNanos, request.info.fingerprint(),
				request.target.targetId());
		if (verdict != CrashVerdict.EXCUSED) {
			this.activeRequests.addAction(new TrafficAction.ReportSuspect(request.info.requestId(),
					request.info.fingerprint(), request.target, verdict == CrashVerdict.QUARANTINED));
		}
		if (verdict == CrashVerdict.SUSPECTED) {
			final boolean likely = request.tokensDelivered == request.resumedFromTokens;
			request.earliestStartNanos = nowNanos + (likely ? SUSPECT_WAIT_NANOS : UNLIKELY_SUSPECT_WAIT_NANOS);
		}
	}

}
