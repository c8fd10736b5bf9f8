package org.pistachioline.core.quarantine;

import java.util.List;

/**
 * A request under which targets died, as one daemon tells it to others.
 *
 * @param fingerprint the request's fingerprint
 * @param deaths the targets that died under it
 */
public record SuspectedRequest(String fingerprint, List<TargetDeath> deaths) {

	public SuspectedRequest {
		deaths = List.copyOf(deaths);
	}

}
