package org.pistachioline.daemon.replica;

import java.util.Map;

import org.pistachioline.daemon.port.ProbeResult;

/**
 * The results of probing all members of a group at the same time.
 *
 * @param startedNanos the monotonic time at which the probes were sent
 * @param resultsById what the probe of each member has shown, by its id
 */
record ProbeRound(long startedNanos, Map<String, ProbeResult> resultsById) {

	boolean isAnswered() {
		return this.resultsById.containsValue(ProbeResult.ANSWERED);
	}

}
