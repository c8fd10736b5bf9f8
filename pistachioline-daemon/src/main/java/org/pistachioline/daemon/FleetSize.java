package org.pistachioline.daemon;

import org.pistachioline.daemon.peer.PeerDuty;

/**
 * The number of daemons, as this one knows it.
 */
final class FleetSize {

	private final PeerDuty peers;

	private volatile int largest = 1;

	FleetSize(PeerDuty peers) {
		this.peers = peers;
	}

	/**
	 * Returns the number of live daemons, including this one.
	 * @return the number now
	 */
	int live() {
		return this.peers.livePeers().size() + 1;
	}

	/**
	 * Returns the largest number of daemons that were live at once. A daemon that has
	 * just started knows few peers, so this is a better estimate of how many share a
	 * budget.
	 * @return the largest number since the start
	 */
	int largest() {
		this.largest = Math.max(this.largest, live());
		return this.largest;
	}

}
