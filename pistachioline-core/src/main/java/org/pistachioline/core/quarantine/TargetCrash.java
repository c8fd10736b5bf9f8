package org.pistachioline.core.quarantine;

import java.util.Set;

/**
 * A target that died, and what it was running for this daemon.
 *
 * @param targetId the target
 * @param beginning the fingerprints of requests that it had just begun, or not yet
 * @param underWay the fingerprints of requests that it had been answering for a while
 */
public record TargetCrash(String targetId, Set<String> beginning, Set<String> underWay) {

	public TargetCrash {
		beginning = Set.copyOf(beginning);
		underWay = Set.copyOf(underWay);
	}

}
