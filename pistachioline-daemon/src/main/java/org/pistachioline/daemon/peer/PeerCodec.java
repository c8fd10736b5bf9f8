package org.pistachioline.daemon.peer;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.pistachioline.core.peer.GossipSample;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.peer.PeerUpdate;
import org.pistachioline.protocol.peer.DaemonNews;
import org.pistachioline.protocol.peer.DaemonStatus;
import org.pistachioline.protocol.peer.Heartbeat;
import org.pistachioline.protocol.peer.PeerFrame;
import org.pistachioline.protocol.peer.TargetLimit;
import org.pistachioline.protocol.peer.WorkspaceUse;

/**
 * Encodes the status of daemons as protobuf messages, and decodes it.
 */
public final class PeerCodec {

	/**
	 * Bounds the part of a heartbeat that grows with the number of workspaces with
	 * demand.
	 */
	static final int MAX_WORKSPACES = 64;

	private static final double MIN_REQUESTS_PER_SECOND = 0.01;

	private static final double MILLICORES_PER_CORE = 1_000;

	private PeerCodec() {
	}

	/**
	 * Builds a heartbeat.
	 * @param self the sender's own status
	 * @param sample the gossip about other daemons
	 * @param demand the sender's demand in requests per second, by workspace
	 * @param limits the limits that targets state
	 * @param suspects adds what is suspected of crashing targets
	 * @return the frame
	 */
	public static PeerFrame heartbeat(PeerStatus self, GossipSample sample, Map<String, Double> demand,
			List<TargetLimit> limits, Consumer<Heartbeat.Builder> suspects) {
		final Heartbeat.Builder heartbeat = Heartbeat.newBuilder().setSender(encode(self)).addAllTargetLimits(limits);
		suspects.accept(heartbeat);
		sample.statuses().forEach((peer) -> heartbeat.addKnown(encode(peer)));
		sample.updates().forEach((news) -> heartbeat.addNews(encode(news)));
		// Workspaces without demand are omitted: receivers treat a missing workspace as
		// no demand.
		demand.forEach((workspace, requestsPerSecond) -> {
			if (requestsPerSecond >= MIN_REQUESTS_PER_SECOND && heartbeat.getWorkspaceUseCount() < MAX_WORKSPACES) {
				heartbeat.addWorkspaceUse(
						WorkspaceUse.newBuilder().setWorkspace(workspace).setRequestsPerSecond(requestsPerSecond));
			}
		});
		return PeerFrame.newBuilder().setHeartbeat(heartbeat).build();
	}

	static DaemonStatus encode(PeerStatus status) {
		return DaemonStatus.newBuilder()
			.setDaemonId(status.daemonId())
			.setPeerAddress(status.peerAddress())
			.setCallerAddress(status.callerAddress())
			.setAdminAddress(status.adminAddress())
			.setAvailabilityZone(status.availabilityZone())
			.setIncarnation(status.incarnation())
			.setSequence(status.sequence())
			.setConfigVersion(status.configVersion())
			.setConfigOffset(status.configOffset())
			.setFleetOffset(status.fleetOffset())
			.setReady(status.ready())
			.setLeaving(status.leaving())
			.setLoadRatio(status.loadRatio())
			.setLogAgeMillis(status.logAgeMillis())
			.setTunnelAddress(status.tunnelAddress())
			.setPartitioned(status.partitioned())
			.setCpuMillicores((int) Math.round(status.cpuCores() * MILLICORES_PER_CORE))
			.setLoopLagMillis((int) Math.min(Integer.MAX_VALUE, status.loopLagMillis()))
			.build();
	}

	static PeerStatus decode(DaemonStatus status) {
		return new PeerStatus(status.getDaemonId(), status.getPeerAddress(), status.getCallerAddress(),
				status.getAdminAddress(), status.getAvailabilityZone(), status.getIncarnation(), status.getSequence(),
				status.getConfigVersion(), status.getConfigOffset(), status.getFleetOffset(), status.getReady(),
				status.getLeaving(), status.getLoadRatio(), status.getLogAgeMillis(), status.getTunnelAddress(),
				status.getPartitioned(), Integer.toUnsignedLong(status.getCpuMillicores()) / MILLICORES_PER_CORE,
				Integer.toUnsignedLong(status.getLoopLagMillis()));
	}

	static DaemonNews encode(PeerUpdate news) {
		return DaemonNews.newBuilder()
			.setDaemonId(news.daemonId())
			.setIncarnation(news.incarnation())
			.setSequence(news.sequence())
			.setConfigVersion(news.configVersion())
			.setReady(news.ready())
			.setLeaving(news.leaving())
			.setPartitioned(news.partitioned())
			.setLoopLagMillis((int) Math.min(Integer.MAX_VALUE, news.loopLagMillis()))
			.build();
	}

	static PeerUpdate decode(DaemonNews news) {
		return new PeerUpdate(news.getDaemonId(), news.getIncarnation(), news.getSequence(), news.getConfigVersion(),
				news.getReady(), news.getLeaving(), news.getPartitioned(),
				Integer.toUnsignedLong(news.getLoopLagMillis()));
	}

}
