package org.pistachioline.core.quarantine;

import java.util.List;

/**
 * A request under which targets died, as one daemon tells it to others.
 *
 * @param fingerprint the request's fingerprint
 * @param evidence the targets that died under it
 */
public record SuspectedRequest(String fingerprint, List<CrashEvidence> evidence) {

	public SuspectedRequest {
		evidence = List.copyOf(evidence);
	}

}
