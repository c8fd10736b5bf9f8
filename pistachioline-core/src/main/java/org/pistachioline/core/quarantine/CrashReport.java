package org.pistachioline.core.quarantine;

import java.util.Set;

/**
 * Crash evidence against one request, as shown to operators.
 *
 * @param fingerprint the request's fingerprint
 * @param quarantined whether the request is quarantined
 * @param targetIds the targets that crashed while running it
 * @param lastDeathAgeMillis time since the last of these crashes, in milliseconds
 */
public record CrashReport(String fingerprint, boolean quarantined, Set<String> targetIds, long lastDeathAgeMillis) {

	public CrashReport {
		targetIds = Set.copyOf(targetIds);
	}

}
