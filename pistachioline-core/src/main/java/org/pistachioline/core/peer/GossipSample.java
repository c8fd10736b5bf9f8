package org.pistachioline.core.peer;

import java.util.List;

/**
 * What one heartbeat tells of other daemons.
 *
 * @param whole some whole statuses
 * @param news what changed of some others
 */
public record GossipSample(List<PeerStatus> whole, List<PeerNews> news) {

	public GossipSample {
		whole = List.copyOf(whole);
		news = List.copyOf(news);
	}

}
