package org.pistachioline.core.quarantine;

import java.util.Set;

/**
 * A target that died, and what it was running for this daemon.
 *
 * @param targetId the target
 * @param startingFingerprints the fingerprints of requests that it had just begun, or not
 * yet
 * @param inProgressFingerprints the fingerprints of requests that it had been answering
 * for a while
 */
public record TargetCrash(String targetId, Set<String> startingFingerprints, Set<String> inProgressFingerprints) {

	public TargetCrash {
		startingFingerprints = Set.copyOf(startingFingerprints);
		inProgressFingerprints = Set.copyOf(inProgressFingerprints);
	}

}
