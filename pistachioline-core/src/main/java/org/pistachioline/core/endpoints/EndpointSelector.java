package org.pistachioline.core.endpoints;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.pistachioline.core.peer.PeerStatus;

/**
 * Chooses the addresses that callers are told to use: ready, not leaving, the near
 * availability zone first, then by load.
 */
public final class EndpointSelector {

	private EndpointSelector() {
	}

	/**
	 * Chooses addresses.
	 * @param daemons the live daemons, this one included
	 * @param availabilityZone the caller's availability zone; empty where it is not known
	 * @return the daemons to use, the best first
	 */
	public static List<PeerStatus> choose(List<PeerStatus> daemons, String availabilityZone) {
		final List<PeerStatus> usable = new ArrayList<>();
		for (final PeerStatus daemon : daemons) {
			if (daemon.ready() && !daemon.leaving()) {
				usable.add(daemon);
			}
		}
		usable.sort(Comparator.comparing((PeerStatus daemon) -> !daemon.availabilityZone().equals(availabilityZone))
			.thenComparingDouble(PeerStatus::loadRatio)
			.thenComparing(PeerStatus::daemonId));
		return usable;
	}

}
