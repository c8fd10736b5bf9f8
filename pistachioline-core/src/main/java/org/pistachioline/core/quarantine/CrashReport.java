package org.pistachioline.core.quarantine;

import java.util.Set;

/**
 * A request under which targets died, for operators.
 *
 * @param fingerprint the request's fingerprint
 * @param quarantined whether it is barred
 * @param targetIds the targets that died
 * @param lastDeathAgeMillis how long ago the last of them died
 */
public record CrashReport(String fingerprint, boolean quarantined, Set<String> targetIds, long lastDeathAgeMillis) {

	public CrashReport {
		targetIds = Set.copyOf(targetIds);
	}

}
