package org.pistachioline.daemon.peer;

import org.pistachioline.core.peer.GossipSample;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.peer.PeerUpdate;
import org.pistachioline.protocol.peer.DaemonNews;
import org.pistachioline.protocol.peer.DaemonStatus;
import org.pistachioline.protocol.peer.Heartbeat;

/**
 * Encodes the status of daemons as protobuf messages, and decodes it.
 */
public final class PeerCodec {

	private static final double MILLICORES_PER_CORE = 1_000;

	private PeerCodec() {
	}

	/**
	 * Begins a heartbeat, to which the exchanges add their state.
	 * @param self the sender's own status
	 * @param sample the gossip about other daemons
	 * @return the heartbeat
	 */
	public static Heartbeat.Builder heartbeat(PeerStatus self, GossipSample sample) {
		final Heartbeat.Builder heartbeat = Heartbeat.newBuilder().setSender(encode(self));
		sample.statuses().forEach((peer) -> heartbeat.addKnown(encode(peer)));
		sample.updates().forEach((news) -> heartbeat.addNews(encode(news)));
		return heartbeat;
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
