package org.pistachioline.daemon.peer;

import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.protocol.peer.DaemonStatus;

/**
 * Turns what daemons say of themselves into protobuf and back.
 */
final class PeerCodec {

	private PeerCodec() {
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
			.build();
	}

	static PeerStatus decode(DaemonStatus status) {
		return new PeerStatus(status.getDaemonId(), status.getPeerAddress(), status.getCallerAddress(),
				status.getAdminAddress(), status.getAvailabilityZone(), status.getIncarnation(), status.getSequence(),
				status.getConfigVersion(), status.getConfigOffset(), status.getFleetOffset(), status.getReady(),
				status.getLeaving(), status.getLoadRatio(), status.getLogAgeMillis());
	}

}
