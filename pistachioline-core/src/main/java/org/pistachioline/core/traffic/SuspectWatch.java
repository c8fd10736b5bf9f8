package org.pistachioline.core.traffic;

import org.pistachioline.core.quarantine.CrashVerdict;
import org.pistachioline.core.quarantine.QuarantinePolicy;

/**
 * Tells which requests a group died under, and when one of them may run again.
 */
final class SuspectWatch {

	/**
	 * More than the tokens that were generated, but lost on the way, when a group died.
	 */
	private static final int TOKENS_PAST_DEATH = 16;

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

	private final QuarantinePolicy killer;

	private final Isolation isolation;

	private final FlightBook flights;

	SuspectWatch(QuarantinePolicy killer, Isolation isolation, FlightBook flights) {
		this.killer = killer;
		this.isolation = isolation;
		this.flights = flights;
	}

	void onTokens(Flight flight) {
		if (flight.tokensDelivered > flight.resumedFromTokens) {
			this.isolation.onToken(flight);
		}
		if (flight.apart && flight.tokensDelivered >= flight.resumedFromTokens + TOKENS_PAST_DEATH) {
			this.killer.onRunPastCrash(flight.info.fingerprint(), false);
			this.isolation.onLeave(flight);
		}
	}

	void onDeath(long nowNanos, Flight flight) {
		if (flight.info.targetKind() != TargetKind.MODEL) {
			return;
		}
		final CrashVerdict verdict = this.killer.onBrokenAttempt(nowNanos, flight.info.fingerprint(),
				flight.target.targetId());
		if (verdict != CrashVerdict.EXCUSED) {
			this.flights.act(new TrafficAction.Suspect(flight.info.requestId(), flight.info.fingerprint(),
					flight.target, verdict == CrashVerdict.QUARANTINED));
		}
		if (verdict == CrashVerdict.SUSPECTED) {
			final boolean likely = flight.tokensDelivered == flight.resumedFromTokens;
			flight.notBeforeNanos = nowNanos + (likely ? SUSPECT_WAIT_NANOS : UNLIKELY_SUSPECT_WAIT_NANOS);
		}
	}

}
