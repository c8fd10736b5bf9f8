package org.pistachioline.core.peer;

import java.util.List;

/**
 * The part of a daemon's peer table that it sends with one heartbeat.
 *
 * @param statuses complete statuses of a few daemons
 * @param updates updates of further daemons
 */
public record GossipSample(List<PeerStatus> statuses, List<PeerUpdate> updates) {

	public GossipSample {
		statuses = List.copyOf(statuses);
		updates = List.copyOf(updates);
	}

}
