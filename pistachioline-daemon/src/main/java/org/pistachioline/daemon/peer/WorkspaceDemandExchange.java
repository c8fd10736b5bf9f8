package org.pistachioline.daemon.peer;

import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.protocol.peer.Heartbeat;
import org.pistachioline.protocol.peer.WorkspaceUse;

/**
 * Exchanges the demand of workspaces, by which daemons divide the workspaces' limits.
 */
public final class WorkspaceDemandExchange implements HeartbeatExchange {

	/**
	 * Bounds the part of a heartbeat that grows with the number of workspaces with
	 * demand.
	 */
	private static final int MAX_WORKSPACES = 64;

	private static final double MIN_REQUESTS_PER_SECOND = 0.01;

	private final Supplier<Map<String, Double>> ownDemand;

	private final BiConsumer<PeerStatus, Map<String, Double>> receiver;

	/**
	 * Creates the exchange.
	 * @param ownDemand supplies this daemon's demand, in requests per second by workspace
	 * @param receiver receives the demand of a peer; it must not block
	 */
	public WorkspaceDemandExchange(Supplier<Map<String, Double>> ownDemand,
			BiConsumer<PeerStatus, Map<String, Double>> receiver) {
		this.ownDemand = ownDemand;
		this.receiver = receiver;
	}

	@Override
	public void addTo(Heartbeat.Builder heartbeat, long nowNanos) {
		// Workspaces without demand are omitted: receivers treat a missing workspace as
		// no demand.
		this.ownDemand.get().forEach((workspace, requestsPerSecond) -> {
			if (requestsPerSecond >= MIN_REQUESTS_PER_SECOND && heartbeat.getWorkspaceUseCount() < MAX_WORKSPACES) {
				heartbeat.addWorkspaceUse(
						WorkspaceUse.newBuilder().setWorkspace(workspace).setRequestsPerSecond(requestsPerSecond));
			}
		});
	}

	@Override
	public void onHeartbeat(PeerStatus sender, Heartbeat heartbeat, long nowNanos) {
		this.receiver.accept(sender, heartbeat.getWorkspaceUseList()
			.stream()
			.limit(MAX_WORKSPACES)
			.collect(Collectors.toMap(WorkspaceUse::getWorkspace, WorkspaceUse::getRequestsPerSecond, Math::max)));
	}

}
