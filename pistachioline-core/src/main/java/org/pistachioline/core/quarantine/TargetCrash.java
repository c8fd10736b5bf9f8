package org.pistachioline.core.quarantine;

import java.util.Set;

/**
 * A confirmed crash of a target, with the requests of this daemon that it was running.
 *
 * @param targetId the target
 * @param startingFingerprints the requests in phase {@link CrashPhase#STARTING}
 * @param inProgressFingerprints the requests in phase {@link CrashPhase#IN_PROGRESS}
 */
public record TargetCrash(String targetId, Set<String> startingFingerprints, Set<String> inProgressFingerprints) {

	public TargetCrash {
		startingFingerprints = Set.copyOf(startingFingerprints);
		inProgressFingerprints = Set.copyOf(inProgressFingerprints);
	}

}
