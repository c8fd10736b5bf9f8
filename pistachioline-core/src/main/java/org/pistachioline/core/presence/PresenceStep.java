package org.pistachioline.core.presence;

import java.util.List;

import org.pistachioline.core.record.Member;

/**
 * What is to be asked now.
 *
 * @param probes the instances to ask what they hold
 * @param requests the questions to other daemons
 */
public record PresenceStep(List<Member> probes, List<PresenceRequest> requests) {

	public PresenceStep {
		probes = List.copyOf(probes);
		requests = List.copyOf(requests);
	}

}
