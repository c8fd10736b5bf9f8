package org.pistachioline.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides each workspace's limits between the daemons by their demand.
 * <p>
 * Made for callers that keep to one address for long: with equal parts, a workspace whose
 * callers all sit at one of eight daemons would be refused at an eighth of its limit. A
 * fifth is divided equally, so that a daemon can admit the first requests of a workspace
 * that is new to it; the rest follows the demand that daemons tell each other. The part
 * of a daemon that is silent, and that did not say it leaves, stays set aside until it is
 * forgotten: it may be alive behind a cut and use that part. A share falls at once but
 * rises only after the hold time, when the others have heard of the demand and have given
 * way; so all shares together stay within {@link #MAX_TOTAL_RATIO} of the limit while
 * messages take less than the hold time.
 */
public final class LimitShares {

	/** The most that all daemons' shares of one limit come to, by the tests. */
	public static final double MAX_TOTAL_RATIO = 1.25;

	private static final double EQUALLY_DIVIDED_RATIO = 0.2;

	private static final double MIN_DEMAND = 1e-6;

	private final long silenceTimeoutNanos;

	private final long expiryNanos;

	private final long increaseDelayNanos;

	private final Map<String, Peer> peers = new TreeMap<>();

	private final Map<String, DelayedIncrease> increases = new HashMap<>();

	private Map<String, Double> demand = Map.of();

	/**
	 * Creates shares for a daemon that knows no other.
	 * @param silentNanos after which a peer counts as silent
	 * @param forgetNanos after which a silent peer's part is given to the others
	 * @param holdNanos how long a rise is held back
	 */
	public LimitShares(long silentNanos, long forgetNanos, long holdNanos) {
		this.silenceTimeoutNanos = silentNanos;
		this.expiryNanos = forgetNanos;
		this.increaseDelayNanos = holdNanos;
	}

	/**
	 * Takes over this daemon's own demand.
	 * @param ownDemand the demand of each workspace here, in any one unit
	 */
	public void onDemand(Map<String, Double> ownDemand) {
		this.demand = Map.copyOf(ownDemand);
	}

	/**
	 * Takes word of a peer.
	 * @param nowNanos the monotonic time
	 * @param daemonId the peer
	 * @param leaving whether it is about to stop
	 * @param peerDemand the demand of each workspace there
	 */
	public void onPeerDemand(long nowNanos, String daemonId, boolean leaving, Map<String, Double> peerDemand) {
		if (leaving) {
			this.peers.remove(daemonId);
		}
		else {
			this.peers.put(daemonId, new Peer(nowNanos, Map.copyOf(peerDemand)));
		}
	}

	/**
	 * Takes word that a peer is alive, without its demand.
	 * @param nowNanos the monotonic time
	 * @param daemonId the peer
	 */
	public void onPeerAlive(long nowNanos, String daemonId) {
		// Its part is set aside until it tells its demand itself.
		this.peers.putIfAbsent(daemonId, new Peer(nowNanos - this.silenceTimeoutNanos - 1, Map.of()));
	}

	/**
	 * Works out this daemon's share of each workspace's limits.
	 * @param nowNanos the monotonic time
	 * @param workspaces the workspaces
	 * @return the share of each workspace
	 */
	public Map<String, Double> shareRatios(long nowNanos, List<String> workspaces) {
		this.peers.values().removeIf((peer) -> nowNanos - peer.heardAtNanos() > this.expiryNanos);
		final int count = this.peers.size() + 1;
		final List<Peer> live = new ArrayList<>();
		for (final Peer peer : this.peers.values()) {
			if (nowNanos - peer.heardAtNanos() <= this.silenceTimeoutNanos) {
				live.add(peer);
			}
		}
		final Map<String, Double> shares = new HashMap<>();
		for (final String workspace : workspaces) {
			shares.put(workspace, delayIncrease(nowNanos, workspace, desiredShareRatio(workspace, live, count)));
		}
		this.increases.keySet().retainAll(shares.keySet());
		return shares;
	}

	private double desiredShareRatio(String workspace, List<Peer> live, int count) {
		final double own = this.demand.getOrDefault(workspace, 0.0) + MIN_DEMAND;
		double all = own;
		for (final Peer peer : live) {
			all += peer.demand().getOrDefault(workspace, 0.0) + MIN_DEMAND;
		}
		final double reachableRatio = (live.size() + 1.0) / count;
		return EQUALLY_DIVIDED_RATIO / count + (1 - EQUALLY_DIVIDED_RATIO) * reachableRatio * own / all;
	}

	private double delayIncrease(long nowNanos, String workspace, double target) {
		final DelayedIncrease rise = this.increases.computeIfAbsent(workspace, (key) -> new DelayedIncrease(target));
		return rise.next(nowNanos, target, this.increaseDelayNanos);
	}

	private record Peer(long heardAtNanos, Map<String, Double> demand) {
	}

	private static final class DelayedIncrease {

		private double share;

		private double pending;

		private long pendingSinceNanos;

		DelayedIncrease(double share) {
			this.share = share;
			this.pending = share;
		}

		// What is granted after the hold time is the least that was due all the time.
		double next(long nowNanos, double target, long holdNanos) {
			if (target <= this.share) {
				this.share = target;
				this.pending = target;
				this.pendingSinceNanos = nowNanos;
				return this.share;
			}
			if (this.pending <= this.share) {
				this.pending = target;
				this.pendingSinceNanos = nowNanos;
			}
			this.pending = Math.min(this.pending, target);
			if (nowNanos - this.pendingSinceNanos >= holdNanos) {
				this.share = this.pending;
				this.pending = target;
				this.pendingSinceNanos = nowNanos;
			}
			return this.share;
		}

	}

}
