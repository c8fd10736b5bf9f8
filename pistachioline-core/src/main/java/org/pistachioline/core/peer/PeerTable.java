package org.pistachioline.core.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The other daemons as far as heartbeats have told.
 */
public final class PeerTable {

	private final String selfId;

	private final long liveBoundNanos;

	private final Map<String, Known> peers = new HashMap<>();

	/**
	 * Creates an empty table.
	 * @param selfId this daemon's name
	 * @param liveBoundNanos how long a silent daemon counts as live
	 */
	public PeerTable(String selfId, long liveBoundNanos) {
		this.selfId = selfId;
		this.liveBoundNanos = liveBoundNanos;
	}

	/**
	 * Takes what is told of a daemon.
	 * @param status what it said of itself
	 * @param nowNanos the monotonic time
	 * @return whether the daemon was not live before
	 */
	public boolean merge(PeerStatus status, long nowNanos) {
		if (status.daemonId().equals(this.selfId)) {
			return false;
		}
		final Known known = this.peers.get(status.daemonId());
		if (known != null && !status.isNewerThan(known.status())) {
			return false;
		}
		this.peers.put(status.daemonId(), new Known(status, nowNanos));
		return known == null || nowNanos - known.heardAtNanos() > this.liveBoundNanos;
	}

	/**
	 * Returns the live daemons besides this one.
	 * @param nowNanos the monotonic time
	 * @return what each said of itself, by name
	 */
	public List<PeerStatus> live(long nowNanos) {
		final Map<String, PeerStatus> live = new TreeMap<>();
		for (final Known known : this.peers.values()) {
			if (nowNanos - known.heardAtNanos() <= this.liveBoundNanos) {
				live.put(known.status().daemonId(), known.status());
			}
		}
		return new ArrayList<>(live.values());
	}

	private record Known(PeerStatus status, long heardAtNanos) {
	}

}
