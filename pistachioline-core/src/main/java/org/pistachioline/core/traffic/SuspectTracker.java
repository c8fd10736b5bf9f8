package org.pistachioline.core.traffic;

import org.pistachioline.core.quarantine.CrashVerdict;
import org.pistachioline.core.quarantine.QuarantinePolicy;

/**
 * Tells which requests a group died under, and when one of them may run again.
 */
final class SuspectTracker {

	/**
	 * More than the tokens that were generated, but lost on the way, when a group died.
	 */
	private static final int TOKENS_TO_CLEAR_SUSPECT = 16;

	/**
	 * How long a suspect waits before its second run. A copy may have killed another
	 * group at another daemon in the same moment; a few appends later both know.
	 */
	private static final long SUSPECT_WAIT_NANOS = 300_000_000L;

	/**
	 * How long a suspect that was giving tokens waits. Most killers crash a group before
	 * their first token; tried first and found, they free the others.
	 */
	private static final long UNLIKELY_SUSPECT_WAIT_NANOS = 1_000_000_000L;

	private final QuarantinePolicy quarantine;

	private final SuspectIsolation isolation;

	private final ActiveRequests activeRequests;

	SuspectTracker(QuarantinePolicy killer, SuspectIsolation isolation, ActiveRequests flights) {
		this.quarantine = killer;
		this.isolation = isolation;
		this.activeRequests = flights;
	}

	void onTokens(ActiveRequest flight) {
		if (flight.tokensDelivered > flight.resumedFromTokens) {
			this.isolation.onOutput(flight);
		}
		if (flight.isolated && flight.tokensDelivered >= flight.resumedFromTokens + TOKENS_TO_CLEAR_SUSPECT) {
			this.quarantine.onRunPastCrash(flight.info.fingerprint(), false);
			this.isolation.release(flight);
		}
	}

	void onBrokenAttempt(long nowNanos, ActiveRequest flight) {
		if (flight.info.targetKind() != TargetKind.MODEL) {
			return;
		}
		final CrashVerdict verdict = this.quarantine.onBrokenAttempt(nowNanos, flight.info.fingerprint(),
				flight.target.targetId());
		if (verdict != CrashVerdict.EXCUSED) {
			this.activeRequests.addAction(new TrafficAction.ReportSuspect(flight.info.requestId(),
					flight.info.fingerprint(), flight.target, verdict == CrashVerdict.QUARANTINED));
		}
		if (verdict == CrashVerdict.SUSPECTED) {
			final boolean likely = flight.tokensDelivered == flight.resumedFromTokens;
			flight.earliestStartNanos = nowNanos + (likely ? SUSPECT_WAIT_NANOS : UNLIKELY_SUSPECT_WAIT_NANOS);
		}
	}

}
