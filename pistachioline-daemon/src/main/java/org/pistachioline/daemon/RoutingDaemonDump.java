package org.pistachioline.daemon;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.daemon.listing.ListingDuty;
import org.pistachioline.daemon.replica.ReplicaDuty;
import org.pistachioline.daemon.traffic.TrafficDuty;
import org.pistachioline.daemon.tunnel.TargetConnections;
import org.pistachioline.daemon.tunnel.TunnelServer;

/**
 * Builds the dump of a {@link RoutingDaemon} from snapshots, without stopping its duties.
 *
 * @param traffic the scheduled requests
 * @param replicas the groups
 * @param listing the instance list
 * @param targets the connections to targets
 * @param tunnels the connections on behalf of other daemons
 */
record RoutingDaemonDump(TrafficDuty traffic, ReplicaDuty replicas, ListingDuty listing, TargetConnections targets,
		TunnelServer tunnels) {

	Map<String, Object> of(PeerStatus status, Optional<String> notReadyReason, List<PeerStatus> daemons) {
		final Map<String, Object> dump = new LinkedHashMap<>();
		dump.put("daemon", status);
		dump.put("not_ready_reason", notReadyReason.orElse(""));
		dump.put("config", Map.of("version", status.configVersion()));
		dump.put("requests",
				Map.of("held", this.traffic.activeRequestCount(), "queued", this.traffic.queuedRequestCount()));
		dump.put("listing",
				Map.of("age_millis", this.listing.ageMillis(), "reads_for_others", this.listing.readsForOthers()));
		dump.put("serving_targets", this.replicas.servingTargetCount());
		dump.put("unreachable_targets", this.targets.reachability().unreachable());
		dump.put("tunnels_for_others", this.tunnels.openTunnels());
		dump.put("limited_targets", this.traffic.limitReports());
		dump.put("backoff_targets", this.traffic.backoffReports());
		dump.put("crash_suspects", this.traffic.crashMonitor().reports());
		dump.put("planned_groups", this.replicas.plannedGroups());
		dump.put("idle_instances", this.replicas.idleInstances());
		dump.put("peers", daemons);
		return dump;
	}

}
