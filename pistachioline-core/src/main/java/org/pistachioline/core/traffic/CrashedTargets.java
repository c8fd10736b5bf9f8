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
public final class CrashedTargets {

	private final QuarantinePolicy killer;

	private final FlightBook flights;

	CrashedTargets(QuarantinePolicy killer, FlightBook flights) {
		this.killer = killer;
		this.flights = flights;
	}

	/**
	 * Takes word that a target has died.
	 * @param nowNanos the monotonic time
	 * @param crash the target, and what it was running for this daemon
	 * @return the requests that are quarantined since
	 */
	public Set<String> hear(long nowNanos, TargetCrash crash) {
		final Set<String> before = this.killer.quarantined();
		this.killer.onCrash(nowNanos, crash);
		return endQuarantined(nowNanos, before);
	}

	/**
	 * Takes what another daemon told of requests under which targets died.
	 * @param nowNanos the monotonic time
	 * @param told the requests
	 * @return the requests that are quarantined since
	 */
	public Set<String> hearFromPeer(long nowNanos, List<SuspectedRequest> told) {
		final Set<String> before = this.killer.quarantined();
		this.killer.onPeerReports(nowNanos, told);
		return endQuarantined(nowNanos, before);
	}

	// A copy whose target has given nothing yet may still be on its way there, or wait in
	// its queue: cut off, it does not crash it. One that is being answered may end well.
	private Set<String> endQuarantined(long nowNanos, Set<String> before) {
		final Set<String> added = new HashSet<>(this.killer.quarantined());
		added.removeAll(before);
		if (!added.isEmpty()) {
			for (final Flight flight : this.flights.all()) {
				final boolean answering = flight.liveAttempt != null && flight.attemptRan;
				if (added.contains(flight.info.fingerprint()) && !answering) {
					this.flights.end(nowNanos, flight, ErrorKind.QUARANTINED, 0);
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
		return this.killer.quarantined();
	}

	/**
	 * Returns what all other daemons are to be told at once, and forgets that they are.
	 * @param nowNanos the monotonic time
	 * @return the requests
	 */
	public List<SuspectedRequest> takeNews(long nowNanos) {
		return this.killer.drainBroadcast(nowNanos);
	}

	/**
	 * Returns what the next heartbeat tells.
	 * @param nowNanos the monotonic time
	 * @return some requests
	 */
	public List<SuspectedRequest> sample(long nowNanos) {
		return this.killer.gossipSample(nowNanos);
	}

	/**
	 * Returns what a daemon is told that has just started.
	 * @return the requests
	 */
	public List<SuspectedRequest> known() {
		return this.killer.knownSuspects();
	}

	/**
	 * Describes the requests under which targets died, for operators.
	 * @param nowNanos the monotonic time
	 * @return the requests
	 */
	public List<CrashReport> reports(long nowNanos) {
		return this.killer.reports(nowNanos);
	}

}
