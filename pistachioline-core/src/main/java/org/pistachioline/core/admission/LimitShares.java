package org.pistachioline.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides the limits of each workspace between the daemons by their demand.
 * <p>
 * Callers keep to one address for long. With equal shares, a workspace whose callers are
 * all connected to one of eight daemons would be refused at an eighth of its limit. A
 * fifth of each limit is divided equally, so that a daemon can admit the first requests
 * of a workspace that is new to it; the rest follows the demand that the daemons report
 * to each other. The share of a daemon that has fallen silent without announcing that it
 * leaves remains reserved until the daemon expires, since it may be alive behind a
 * network partition and use its share. A share decreases at once but increases only after
 * a delay, by which the other daemons have received the demand and reduced their shares.
 * The sum of all shares therefore stays within {@link #MAX_TOTAL_RATIO} of the limit
 * while messages take less than this delay.
 */
public final class LimitShares {

	/**
	 * The bound on the sum of all daemons' shares of one limit, which the tests check.
	 */
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
	 * Creates the shares of a daemon that knows no other daemon.
	 * @param silenceTimeoutNanos the time without a report after which a peer counts as
	 * silent
	 * @param expiryNanos the time without a report after which the share of a silent peer
	 * is divided between the others
	 * @param increaseDelayNanos the delay before a share increases
	 */
	public LimitShares(long silenceTimeoutNanos, long expiryNanos, long increaseDelayNanos) {
		this.silenceTimeoutNanos = silenceTimeoutNanos;
		this.expiryNanos = expiryNanos;
		this.increaseDelayNanos = increaseDelayNanos;
	}

	/**
	 * Sets this daemon's own demand.
	 * @param ownDemand the demand of each workspace, in the same unit on all daemons
	 */
	public void onDemand(Map<String, Double> ownDemand) {
		this.demand = Map.copyOf(ownDemand);
	}

	/**
	 * Handles a demand report of a peer.
	 * @param nowNanos the monotonic time
	 * @param daemonId the peer
	 * @param leaving whether the peer is about to stop
	 * @param peerDemand the demand of each workspace at the peer
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
	 * Handles the news that a peer is alive, without its demand.
	 * @param nowNanos the monotonic time
	 * @param daemonId the peer
	 */
	public void onPeerAlive(long nowNanos, String daemonId) {
		// The peer counts as silent, so that its share is reserved, until it reports its
		// demand itself.
		this.peers.putIfAbsent(daemonId, new Peer(nowNanos - this.silenceTimeoutNanos - 1, Map.of()));
	}

	/**
	 * Computes this daemon's share of each workspace's limits.
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
		final double localDemand = this.demand.getOrDefault(workspace, 0.0) + MIN_DEMAND;
		double totalDemand = localDemand;
		for (final Peer peer : live) {
			totalDemand += peer.demand().getOrDefault(workspace, 0.0) + MIN_DEMAND;
		}
		final double reachableRatio = (live.size() + 1.0) / count;
		return EQUALLY_DIVIDED_RATIO / count + (1 - EQUALLY_DIVIDED_RATIO) * reachableRatio * localDemand / totalDemand;
	}

	private double delayIncrease(long nowNanos, String workspace, double desiredRatio) {
		final DelayedIncrease increase = this.increases.computeIfAbsent(workspace,
				(key) -> new DelayedIncrease(desiredRatio));
		return increase.next(nowNanos, desiredRatio, this.increaseDelayNanos);
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

		// The share granted after the delay is the smallest one desired during the delay.
		double next(long nowNanos, double desiredRatio, long delayNanos) {
			if (desiredRatio <= this.share) {
				this.share = desiredRatio;
				this.pending = desiredRatio;
				this.pendingSinceNanos = nowNanos;
				return this.share;
			}
			if (this.pending <= this.share) {
				this.pending = desiredRatio;
				this.pendingSinceNanos = nowNanos;
			}
			this.pending = Math.min(this.pending, desiredRatio);
			if (nowNanos - this.pendingSinceNanos >= delayNanos) {
				this.share = this.pending;
				this.pending = desiredRatio;
				this.pendingSinceNanos = nowNanos;
			}
			return this.share;
		}

	}

}
