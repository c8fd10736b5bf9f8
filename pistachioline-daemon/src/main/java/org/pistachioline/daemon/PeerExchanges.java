package org.pistachioline.daemon;

import org.pistachioline.core.evacuation.EvacuationState;
import org.pistachioline.daemon.evacuation.EvacuationMonitor;
import org.pistachioline.daemon.metrics.Metrics;
import org.pistachioline.daemon.peer.ColdExchange;
import org.pistachioline.daemon.peer.EvacuationExchange;
import org.pistachioline.daemon.peer.LimitExchange;
import org.pistachioline.daemon.peer.PeerDuty;
import org.pistachioline.daemon.peer.SuspectExchange;
import org.pistachioline.daemon.relay.Relay;
import org.pistachioline.daemon.replica.ReplicaDuty;
import org.pistachioline.daemon.traffic.ColdMonitor;
import org.pistachioline.daemon.traffic.CrashMonitor;
import org.pistachioline.daemon.traffic.TrafficDuty;

/**
 * Connects what daemons tell each other of targets with the duties that act on it.
 *
 * @param peers exchanges frames with other daemons
 * @param traffic sends requests to targets
 * @param replicas plans groups
 */
record PeerExchanges(PeerDuty peers, TrafficDuty traffic, ReplicaDuty replicas) {

	void bind(boolean expectsPeers, EvacuationMonitor evacuation, Relay relay, Metrics metrics) {
		bindTargets(expectsPeers);
		bindEvacuation(evacuation, relay, metrics);
	}

	private void bindTargets(boolean expectsPeers) {
		this.peers.addExchange(new LimitExchange(this.traffic::latestLimits, this.traffic::onPeerLimits));
		this.peers.setStallListener(this.replicas::onTargetStalled);
		final CrashMonitor crashMonitor = this.traffic.crashMonitor();
		this.peers.addExchange(new SuspectExchange(crashMonitor::gossipSample, crashMonitor::knownSuspects,
				crashMonitor::onPeerReports));
		crashMonitor
			.setBroadcaster((suspects) -> this.peers.broadcast(SuspectExchange.toNotice(suspects, System.nanoTime())));
		final ColdMonitor coldMonitor = this.traffic.coldMonitor();
		this.peers.addExchange(new ColdExchange(coldMonitor::coldTargets, coldMonitor::onPeerTargets));
		coldMonitor.setBroadcaster((targets) -> this.peers.broadcast(ColdExchange.notice(targets, System.nanoTime())));
		if (expectsPeers) {
			coldMonitor.expectPeers();
		}
		coldMonitor.setLeavingDaemons(this.peers::leavingDaemonIds);
	}

	private void bindEvacuation(EvacuationMonitor evacuation, Relay relay, Metrics metrics) {
		evacuation.setListener(this::onEvacuation);
		evacuation.setBroadcaster((records) -> this.peers.broadcast(EvacuationExchange.notice(records)));
		this.peers.addExchange(new EvacuationExchange(evacuation::records, evacuation::onPeerRecords));
		relay.setEvacuatedTargets(this.replicas::isEvacuated);
		metrics.gauge("pistachioline.zones.evacuated", "Availability zones that operators evacuate",
				() -> evacuation.state().availabilityZones().size());
	}

	private void onEvacuation(EvacuationState state) {
		this.replicas.onEvacuation(state.availabilityZones());
		this.traffic.onEvacuation(state.availabilityZones());
	}

}
