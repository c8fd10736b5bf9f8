package org.pistachioline.daemon;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.pistachioline.core.manifest.WorkspaceSpec;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.planner.Plan;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.state.ConfigState;
import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.state.GroupState;
import org.pistachioline.daemon.agreed.AppendDuty;
import org.pistachioline.daemon.agreed.StreamDuty;
import org.pistachioline.daemon.agreed.StreamView;
import org.pistachioline.daemon.duty.Ring;
import org.pistachioline.daemon.fleet.FleetDuty;
import org.pistachioline.daemon.fleet.PlannerDuty;
import org.pistachioline.daemon.traffic.LimitShareUpdater;
import org.pistachioline.daemon.traffic.TrafficDuty;

/**
 * Writes a daemon's whole state for operators, from immutable snapshots and without
 * stopping any duty. It holds no key, prompt or answer.
 */
final class DaemonDump {

	private final StreamDuty<ConfigState> config;

	private final StreamDuty<FleetState> fleet;

	private final FleetDuty instances;

	private final PlannerDuty planner;

	private final AppendDuty appender;

	private final TrafficDuty traffic;

	private final LimitShareUpdater limitShares;

	private final List<Lifecycle> components;

	DaemonDump(StreamDuty<ConfigState> config, StreamDuty<FleetState> fleet, FleetDuty instances, PlannerDuty planner,
			AppendDuty appender, TrafficDuty traffic, LimitShareUpdater shares, List<Lifecycle> parts) {
		this.config = config;
		this.fleet = fleet;
		this.instances = instances;
		this.planner = planner;
		this.appender = appender;
		this.traffic = traffic;
		this.limitShares = shares;
		this.components = parts;
	}

	Map<String, Object> sections(long configAgeMillis, List<PeerStatus> daemons) {
		final Map<String, Object> sections = new LinkedHashMap<>();
		sections.put("config", config(configAgeMillis));
		sections.put("appends",
				Map.of("sent", this.appender.counts().appends(), "refused", this.appender.counts().refused(),
						"ambiguous", this.appender.counts().ambiguous(), "held", this.appender.counts().throttled()));
		sections.put("fleet", fleet());
		final Plan plan = this.planner.plan();
		sections.put("plan", Map.of("groups", plan.groupReasons(), "free_instances", plan.freeReasons(), "dark_domains",
				plan.unreachableDomains()));
		sections.put("peers", daemons);
		sections.put("killers", Map.of("quarantined", this.fleet.view().state().quarantines().values(), "suspected",
				this.fleet.view().state().suspicions().values()));
		sections.put("requests",
				Map.of("held", this.traffic.activeRequestCount(), "queued", this.traffic.queuedRequestCount()));
		sections.put("workspaces", workspaces());
		sections.put("rings", rings());
		return sections;
	}

	private Map<String, Object> config(long configAgeMillis) {
		final StreamView<ConfigState> view = this.config.view();
		return Map.of("version", view.state().version(), "accepted_offset", view.state().acceptedOffset(),
				"next_offset", view.nextOffset(), "log_reachable", view.logReachable(), "condition", view.condition(),
				"age_millis", configAgeMillis, "checkpoint_through", view.coverage().throughOffset());
	}

	private Map<String, Object> fleet() {
		final StreamView<FleetState> view = this.fleet.view();
		return Map.of("next_offset", view.nextOffset(), "condition", view.condition(), "checkpoint_through",
				view.coverage().throughOffset(), "planners", view.state().planners(), "groups",
				view.state().groups().values().stream().map(this::group).toList());
	}

	private Map<String, Object> group(GroupState group) {
		final List<Integer> missing = this.instances.view().missingRanks().getOrDefault(group.groupId(), List.of());
		return Map.of("group_id", group.groupId(), "model", group.model(), "epoch", group.epoch(), "fabric_domain",
				group.fabricDomain(), "draining", group.draining(), "reason", group.reason(), "members",
				group.members().stream().map(Member::instanceId).toList(), "missing_ranks", missing, "served_here",
				this.instances.view().proofs().containsKey(group.epoch()));
	}

	private List<Map<String, Object>> workspaces() {
		final List<Map<String, Object>> rows = new ArrayList<>();
		for (final WorkspaceSpec workspace : this.config.view().state().manifest().workspaces()) {
			rows.add(Map.of("workspace", workspace.name(), "requests_per_second", workspace.requestsPerSecond(),
					"tokens_in_flight", workspace.tokensInFlight(), "queued_requests", workspace.queuedRequests(),
					"share_ratio", this.limitShares.shareRatios().getOrDefault(workspace.name(), 0.0),
					"demand_per_second", this.limitShares.demand().getOrDefault(workspace.name(), 0.0), "failures",
					this.traffic.failureCounts().countsByCode(workspace.name())));
		}
		return rows;
	}

	private List<Map<String, Object>> rings() {
		final List<Map<String, Object>> rows = new ArrayList<>();
		for (final Lifecycle part : this.components) {
			for (final Ring<?> ring : part.rings()) {
				rows.add(Map.of("ring", ring.name(), "messages", ring.size(), "capacity", ring.capacity(), "refused",
						ring.refusedCount()));
			}
		}
		return rows;
	}

}
