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
public final class ShareKeeper {

	private static final long RENEW_NANOS = Duration.ofMillis(250).toNanos();

	/** A peer is silent after so many beats: each beat reaches three peers by chance. */
	private static final int SILENT_BEATS = 12;

	private static final int HOLD_BEATS = 6;

	private static final Duration FORGET = Duration.ofMinutes(1);

	private final String selfId;

	private final Supplier<Set<String>> liveIds;

	private final LimitShares shares;

	private long renewedAtNanos;

	private volatile Map<String, Double> demand = Map.of();

	private volatile Map<String, Double> shareRatios = Map.of();

	/**
	 * Creates a keeper that knows no other daemon.
	 * @param selfId this daemon's name
	 * @param liveIds the live daemons that are not leaving, this one included
	 * @param heartbeatMillis the time between two beats
	 */
	public ShareKeeper(String selfId, Supplier<Set<String>> liveIds, long heartbeatMillis) {
		this.selfId = selfId;
		this.liveIds = liveIds;
		this.shares = new LimitShares(Duration.ofMillis(SILENT_BEATS * heartbeatMillis).toNanos(), FORGET.toNanos(),
				Duration.ofMillis(HOLD_BEATS * heartbeatMillis).toNanos());
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

	void hear(long nowNanos, TrafficMessage.PeerDemand peer) {
		this.shares.onPeerDemand(nowNanos, peer.daemonId(), peer.leaving(), peer.demand());
	}

	List<TrafficAction> renew(long nowNanos, TrafficCore core) {
		if (nowNanos - this.renewedAtNanos < RENEW_NANOS) {
			return List.of();
		}
		this.renewedAtNanos = nowNanos;
		this.demand = core.demand(nowNanos);
		this.shares.onDemand(this.demand);
		final Set<String> live = this.liveIds.get();
		live.stream().filter((id) -> !id.equals(this.selfId)).forEach((id) -> this.shares.onPeerAlive(nowNanos, id));
		final List<String> workspaces = core.manifest().workspaces().stream().map(WorkspaceSpec::name).toList();
		this.shareRatios = Map.copyOf(this.shares.shareRatios(nowNanos, workspaces));
		return core.onShares(nowNanos, LiveDaemons.of(this.selfId, live), this.shareRatios);
	}

}
