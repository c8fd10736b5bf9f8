package org.pistachioline.daemon.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import org.pistachioline.core.admission.LimitShares;
import org.pistachioline.core.manifest.WorkspaceSpec;
import org.pistachioline.core.placement.LiveDaemons;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.core.traffic.TrafficCore;

/**
 * Renews this daemon's shares of the limits on the traffic duty's thread.
 */
public final class LimitShareUpdater {

	private static final long UPDATE_INTERVAL_NANOS = Duration.ofMillis(250).toNanos();

	/** A peer is silent after so many beats: each beat reaches three peers by chance. */
	private static final int SILENCE_TIMEOUT_HEARTBEATS = 12;

	private static final int INCREASE_DELAY_HEARTBEATS = 6;

	private static final Duration EXPIRY = Duration.ofMinutes(1);

	private final String selfId;

	private final Supplier<Set<String>> liveIds;

	private final LimitShares shares;

	private long updatedAtNanos;

	private volatile Map<String, Double> demand = Map.of();

	private volatile Map<String, Double> shareRatios = Map.of();

	/**
	 * Creates a keeper that knows no other daemon.
	 * @param selfId this daemon's name
	 * @param liveIds the live daemons that are not leaving, this one included
	 * @param heartbeatMillis the time between two beats
	 */
	public LimitShareUpdater(String selfId, Supplier<Set<String>> liveIds, long heartbeatMillis) {
		this.selfId = selfId;
		this.liveIds = liveIds;
		this.shares = new LimitShares(Duration.ofMillis(SILENCE_TIMEOUT_HEARTBEATS * heartbeatMillis).toNanos(),
				EXPIRY.toNanos(), Duration.ofMillis(INCREASE_DELAY_HEARTBEATS * heartbeatMillis).toNanos());
	}

	/**
	 * Returns this daemon's demand, for its heartbeats.
	 * @return the requests a second that came lately, by workspace
	 */
	public Map<String, Double> demand() {
		return this.demand;
	}

	/**
	 * Returns this daemon's shares of the limits, for operators.
	 * @return the share of each workspace's limits, by workspace
	 */
	public Map<String, Double> shareRatios() {
		return this.shareRatios;
	}

	void onPeerDemand(long nowNanos, TrafficMessage.PeerDemand peer) {
		this.shares.onPeerDemand(nowNanos, peer.daemonId(), peer.leaving(), peer.demand());
	}

	List<TrafficAction> update(long nowNanos, TrafficCore core) {
		if (nowNanos - this.updatedAtNanos < UPDATE_INTERVAL_NANOS) {
			return List.of();
		}
		this.updatedAtNanos = nowNanos;
		this.demand = core.demand(nowNanos);
		this.shares.onDemand(this.demand);
		final Set<String> live = this.liveIds.get();
		live.stream().filter((id) -> !id.equals(this.selfId)).forEach((id) -> this.shares.onPeerAlive(nowNanos, id));
		final List<String> workspaces = core.manifest().workspaces().stream().map(WorkspaceSpec::name).toList();
		this.shareRatios = Map.copyOf(this.shares.shareRatios(nowNanos, workspaces));
		return core.onShares(nowNanos, LiveDaemons.of(this.selfId, live), this.shareRatios);
	}

}
