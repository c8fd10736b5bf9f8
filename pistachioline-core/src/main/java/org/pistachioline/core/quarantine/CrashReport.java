package org.pistachioline.core.quarantine;

import java.util.Set;

/**
 * Crash evidence against one request or part of prompts, as shown to operators.
 *
 * @param kind what it is
 * @param fingerprint the request's fingerprint, or the part's id
 * @param quarantined whether it is quarantined
 * @param targetIds the targets that crashed while running it
 * @param crashMoments at how many different moments they crashed
 * @param lastDeathAgeMillis time since the last of these crashes, in milliseconds
 */
public record CrashReport(SuspectKind kind, String fingerprint, boolean quarantined, Set<String> targetIds,
		int crashMoments, long lastDeathAgeMillis) {

	public CrashReport {
		targetIds = Set.copyOf(targetIds);
	}

}
