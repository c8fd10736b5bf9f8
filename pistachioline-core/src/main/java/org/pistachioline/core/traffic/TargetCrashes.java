package org.pistachioline.core.traffic;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.quarantine.CrashReport;
import org.pistachioline.core.quarantine.QuarantinePolicy;
import org.pistachioline.core.quarantine.SuspectedRequest;
import org.pistachioline.core.quarantine.TargetCrash;

/**
 * Keeps requests that crash targets away from them, as far as this daemon has seen and
 * others have told.
 */
public final class TargetCrashes {

	private final QuarantinePolicy quarantine;

	private final ActiveRequests activeRequests;

	TargetCrashes(QuarantinePolicy killer, ActiveRequests flights) {
		this.quarantine = killer;
		this.activeRequests = flights;
	}

	/**
	 * Takes word that a target has died.
	 * @param nowNanos the monotonic time
	 * @param crash the target, and what it was running for this daemon
	 * @return the requests that are quarantined since
	 */
	public Set<String> onCrash(long nowNanos, TargetCrash crash) {
		final Set<String> before = this.quarantine.quarantined();
		this.quarantine.onCrash(nowNanos, crash);
		return failNewlyQuarantined(nowNanos, before);
	}

	/**
	 * Takes what another daemon told of requests under which targets died.
	 * @param nowNanos the monotonic time
	 * @param told the requests
	 * @return the requests that are quarantined since
	 */
	public Set<String> onPeerReports(long nowNanos, List<SuspectedRequest> told) {
		final Set<String> before = this.quarantine.quarantined();
		this.quarantine.onPeerReports(nowNanos, told);
		return failNewlyQuarantined(nowNanos, before);
	}

	// A copy whose target has given nothing yet may still be on its way there, or wait in
	// its queue: cut off, it does not crash it. One that is being answered may end well.
	private Set<String> failNewlyQuarantined(long nowNanos, Set<String> before) {
		final Set<String> added = new HashSet<>(this.quarantine.quarantined());
		added.removeAll(before);
		if (!added.isEmpty()) {
			for (final ActiveRequest flight : this.activeRequests.all()) {
				final boolean answering = flight.liveAttempt != null && flight.attemptHasOutput;
				if (added.contains(flight.info.fingerprint()) && !answering) {
					this.activeRequests.fail(nowNanos, flight, ErrorKind.QUARANTINED, 0);
				}
			}
		}
		return added;
	}

	/**
	 * Returns the requests that are quarantined.
	 * @return their fingerprints
	 */
	public Set<String> quarantined() {
		return this.quarantine.quarantined();
	}

	/**
	 * Returns what all other daemons are to be told at once, and forgets that they are.
	 * @param nowNanos the monotonic time
	 * @return the requests
	 */
	public List<SuspectedRequest> drainBroadcast(long nowNanos) {
		return this.quarantine.drainBroadcast(nowNanos);
	}

	/**
	 * Returns what the next heartbeat tells.
	 * @param nowNanos the monotonic time
	 * @return some requests
	 */
	public List<SuspectedRequest> gossipSample(long nowNanos) {
		return this.quarantine.gossipSample(nowNanos);
	}

	/**
	 * Returns what a daemon is told that has just started.
	 * @return the requests
	 */
	public List<SuspectedRequest> knownSuspects() {
		return this.quarantine.knownSuspects();
	}

	/**
	 * Describes the requests under which targets died, for operators.
	 * @param nowNanos the monotonic time
	 * @return the requests
	 */
	public List<CrashReport> reports(long nowNanos) {
		return this.quarantine.reports(nowNanos);
	}

}
