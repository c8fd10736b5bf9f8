package org.pistachioline.core.presence;

import java.util.List;

import org.pistachioline.core.record.Member;

/**
 * The probes and requests that are due.
 *
 * @param probes the members to probe for their state
 * @param requests the requests to other daemons
 */
public record PresenceStep(List<Member> probes, List<PresenceRequest> requests) {

	public PresenceStep {
		probes = List.copyOf(probes);
		requests = List.copyOf(requests);
	}

}
