package org.pistachioline.core.traffic;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.pistachioline.core.quarantine.CrashReport;
import org.pistachioline.core.quarantine.QuarantinePolicy;
import org.pistachioline.core.quarantine.SuspectedRequest;
import org.pistachioline.core.quarantine.TargetCrash;

/**
 * Quarantines requests that crash targets, based on crashes that this daemon observed and
 * on reports from other daemons.
 */
public final class TargetCrashes {

	private final QuarantinePolicy quarantine;

	private final ActiveRequests activeRequests;

	TargetCrashes(QuarantinePolicy quarantine, ActiveRequests activeRequests) {
		this.quarantine = quarantine;
		this.activeRequests = activeRequests;
	}

	/**
	 * Records the crash of a target.
	 * @param nowNanos the monotonic time
	 * @param crash the target, and the requests that it was running for this daemon
	 * @return the fingerprints and ids that this crash brought into quarantine
	 */
	public Set<String> onCrash(long nowNanos, TargetCrash crash) {
		final Set<String> before = this.quarantine.quarantined();
		this.quarantine.onCrash(nowNanos, crash);
		return failNewlyQuarantined(nowNanos, before);
	}

	/**
	 * Merges another daemon's report of requests that were running when targets crashed.
	 * @param nowNanos the monotonic time
	 * @param reported the requests
	 * @return the fingerprints and ids that this report brought into quarantine
	 */
	public Set<String> onPeerReports(long nowNanos, List<SuspectedRequest> reported) {
		final Set<String> before = this.quarantine.quarantined();
		this.quarantine.onPeerReports(nowNanos, reported);
		return failNewlyQuarantined(nowNanos, before);
	}

	// A copy without output may still be on its way to the target or in the target's
	// queue; cancelling it can prevent the crash. A copy that already produces output
	// may complete and is left running.
	private Set<String> failNewlyQuarantined(long nowNanos, Set<String> before) {
		final Set<String> added = new HashSet<>(this.quarantine.quarantined());
		added.removeAll(before);
		if (!added.isEmpty()) {
			for (final ActiveRequest request : this.activeRequests.all()) {
				final boolean hasOutput = request.liveAttempt != null && request.attemptHasOutput;
				if (!hasOutput) {
					this.activeRequests.failIfQuarantined(nowNanos, request);
				}
			}
		}
		return added;
	}

	/**
	 * Returns the requests and parts of prompts that are quarantined.
	 * @return their fingerprints and ids
	 */
	public Set<String> quarantined() {
		return this.quarantine.quarantined();
	}

	/**
	 * Returns the reports that are due for an immediate broadcast to all other daemons,
	 * and clears the list.
	 * @param nowNanos the monotonic time
	 * @return the requests
	 */
	public List<SuspectedRequest> drainBroadcast(long nowNanos) {
		return this.quarantine.drainBroadcast(nowNanos);
	}

	/**
	 * Returns the reports to be gossiped with the next heartbeat.
	 * @param nowNanos the monotonic time
	 * @return some of the known requests
	 */
	public List<SuspectedRequest> gossipSample(long nowNanos) {
		return this.quarantine.gossipSample(nowNanos);
	}

	/**
	 * Returns the reports to be sent to a daemon that has just started.
	 * @return the requests
	 */
	public List<SuspectedRequest> knownSuspects() {
		return this.quarantine.knownSuspects();
	}

	/**
	 * Lists the requests that were running when targets crashed, for operators.
	 * @param nowNanos the monotonic time
	 * @return the requests
	 */
	public List<CrashReport> reports(long nowNanos) {
		return this.quarantine.reports(nowNanos);
	}

}
