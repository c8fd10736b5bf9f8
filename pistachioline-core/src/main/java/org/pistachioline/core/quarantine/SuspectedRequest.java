package org.pistachioline.core.quarantine;

import java.util.List;

/**
 * A request or a part of prompts with its crash evidence, as exchanged between daemons.
 *
 * @param kind what it is
 * @param fingerprint the request's fingerprint, or the part's id
 * @param evidence the evidence of each target that crashed while running it
 */
public record SuspectedRequest(SuspectKind kind, String fingerprint, List<CrashEvidence> evidence) {

	public SuspectedRequest {
		evidence = List.copyOf(evidence);
	}

	/**
	 * Creates a suspected request.
	 * @param fingerprint the request's fingerprint
	 * @param evidence the evidence of each target that crashed while running it
	 */
	public SuspectedRequest(String fingerprint, List<CrashEvidence> evidence) {
		this(SuspectKind.REQUEST, fingerprint, evidence);
	}

}
