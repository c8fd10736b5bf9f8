package org.pistachioline.core.peer;

import java.util.List;

/**
 * What one heartbeat tells of other daemons.
 *
 * @param statuses some whole statuses
 * @param updates what changed of some others
 */
public record GossipSample(List<PeerStatus> statuses, List<PeerUpdate> updates) {

	public GossipSample {
		statuses = List.copyOf(statuses);
		updates = List.copyOf(updates);
	}

}
