package org.pistachioline.core.quarantine;

import java.util.List;

/**
 * A request with its crash evidence, as exchanged between daemons.
 *
 * @param fingerprint the request's fingerprint
 * @param evidence the evidence of each target that crashed while running it
 */
public record SuspectedRequest(String fingerprint, List<CrashEvidence> evidence) {

	public SuspectedRequest {
		evidence = List.copyOf(evidence);
	}

}
