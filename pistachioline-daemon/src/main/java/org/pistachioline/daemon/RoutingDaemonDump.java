package org.pistachioline.daemon;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import org.pistachioline.adapters.web.AnswerPart;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.propagation.VersionLag;
import org.pistachioline.daemon.evacuation.EvacuationMonitor;
import org.pistachioline.daemon.listing.ListingDuty;
import org.pistachioline.daemon.relay.Relay;
import org.pistachioline.daemon.relay.UnexpectedReason;
import org.pistachioline.daemon.replica.ReplicaDuty;
import org.pistachioline.daemon.traffic.FleetDemandExchange;
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
 * @param relay the loop that serves callers, and what targets sent unasked
 * @param evacuation the availability zones that operators evacuate
 * @param configuration how far the configuration in force is behind
 * @param demand the demand of the fleet; empty if this daemon decides by what it sees
 */
record RoutingDaemonDump(TrafficDuty traffic, ReplicaDuty replicas, ListingDuty listing, TargetConnections targets,
		TunnelServer tunnels, Relay relay, EvacuationMonitor evacuation, Supplier<VersionLag> configuration,
		Optional<FleetDemandExchange> demand) {

	Map<String, Object> of(PeerStatus status, Optional<String> notReadyReason, List<PeerStatus> daemons) {
		final Map<String, Object> dump = new LinkedHashMap<>();
		dump.put("daemon", status);
		dump.put("not_ready_reason", notReadyReason.orElse(""));
		dump.put("config", Map.of("version", status.configVersion()));
		dump.put("config_lag", this.configuration.get());
		dump.put("requests",
				Map.of("held", this.traffic.activeRequestCount(), "queued", this.traffic.queuedRequestCount()));
		dump.put("evacuation", this.evacuation.state());
		dump.put("listing",
				Map.of("age_millis", this.listing.ageMillis(), "reads_for_others", this.listing.readsForOthers()));
		dump.put("loop", Map.of("lag_millis", this.relay.loopMonitor().lagMillis(), "refused",
				this.relay.loopMonitor().refusedRequests()));
		dump.put("serving_targets", this.replicas.servingTargetCount());
		dump.put("unreachable_targets", this.targets.reachability().unreachable());
		dump.put("unexpected_responses", unexpectedResponses());
		dump.put("malformed_responses", malformedResponses());
		dump.put("tunnels_for_others", this.tunnels.openTunnels());
		dump.put("limited_targets", this.traffic.limitReports());
		dump.put("cold_targets", this.traffic.coldMonitor().reports());
		dump.put("backoff_targets", this.traffic.backoffReports());
		dump.put("subsets", this.traffic.placementReport().subsets());
		dump.put("admission", this.demand.map(FleetDemandExchange::reports).orElse(List.of()));
		dump.put("crash_suspects", this.traffic.crashMonitor().reports());
		dump.put("planned_groups", this.replicas.plannedGroups());
		dump.put("pools", this.replicas.poolSummaries());
		dump.put("peers", daemons);
		return dump;
	}

	private Map<String, Long> unexpectedResponses() {
		final Map<String, Long> countsByReason = new LinkedHashMap<>();
		for (final UnexpectedReason reason : UnexpectedReason.values()) {
			countsByReason.put(reason.code(), this.relay.unexpectedResponseCount(reason));
		}
		return Collections.unmodifiableMap(countsByReason);
	}

	private Map<String, Long> malformedResponses() {
		final Map<String, Long> countsByPart = new LinkedHashMap<>();
		for (final AnswerPart part : AnswerPart.values()) {
			countsByPart.put(part.code(), this.relay.malformedResponseCount(part));
		}
		return Collections.unmodifiableMap(countsByPart);
	}

}
