package org.pistachioline.core.quarantine;

import java.util.Set;

/**
 * A confirmed crash of a target, with the requests of this daemon that it was running.
 *
 * @param targetId the target
 * @param startingFingerprints the requests in phase {@link CrashPhase#STARTING}
 * @param inProgressFingerprints the requests in phase {@link CrashPhase#IN_PROGRESS}
 * @param startingPromptParts the parts of the prompts of the requests in phase
 * {@link CrashPhase#STARTING} that requests share
 */
public record TargetCrash(String targetId, Set<String> startingFingerprints, Set<String> inProgressFingerprints,
		Set<String> startingPromptParts) {

	public TargetCrash {
		startingFingerprints = Set.copyOf(startingFingerprints);
		inProgressFingerprints = Set.copyOf(inProgressFingerprints);
		startingPromptParts = Set.copyOf(startingPromptParts);
	}

	/**
	 * Creates a crash under requests whose prompts have no known parts.
	 * @param targetId the target
	 * @param startingFingerprints the requests in phase {@link CrashPhase#STARTING}
	 * @param inProgressFingerprints the requests in phase {@link CrashPhase#IN_PROGRESS}
	 */
	public TargetCrash(String targetId, Set<String> startingFingerprints, Set<String> inProgressFingerprints) {
		this(targetId, startingFingerprints, inProgressFingerprints, Set.of());
	}

}
