package org.pistachioline.daemon;

import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;

import org.pistachioline.adapters.web.AnswerPart;
import org.pistachioline.core.admission.AdmissionReport;
import org.pistachioline.core.backoff.BackoffReport;
import org.pistachioline.core.endpoints.DaemonRoom;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.limit.LimitReport;
import org.pistachioline.core.propagation.VersionLag;
import org.pistachioline.core.replica.IdleReason;
import org.pistachioline.core.state.ConfigState;
import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.traffic.FailureReason;
import org.pistachioline.daemon.agreed.AppendDuty;
import org.pistachioline.daemon.agreed.StreamDuty;
import org.pistachioline.daemon.duty.Ring;
import org.pistachioline.daemon.listing.ListingDuty;
import org.pistachioline.daemon.metrics.Metrics;
import org.pistachioline.daemon.peer.PeerDuty;
import org.pistachioline.daemon.peer.PeerMeter;
import org.pistachioline.daemon.relay.IncompleteResponses;
import org.pistachioline.daemon.relay.LoopMonitor;
import org.pistachioline.daemon.relay.Relay;
import org.pistachioline.daemon.relay.UnexpectedReason;
import org.pistachioline.daemon.replica.ReplicaDuty;
import org.pistachioline.daemon.traffic.FleetDemandExchange;
import org.pistachioline.daemon.traffic.TrafficDuty;
import org.pistachioline.daemon.tunnel.TargetConnections;
import org.pistachioline.daemon.tunnel.TunnelServer;
import org.pistachioline.protocol.peer.PeerFrame;

/**
 * Registers the meters of a daemon's components with its {@link Metrics}.
 */
final class DaemonMeters {

	private final Metrics metrics;

	DaemonMeters(Metrics metrics) {
		this.metrics = metrics;
	}

	void bind(TrafficDuty traffic, AppendDuty appender, PeerDuty peers, StreamDuty<ConfigState> config,
			StreamDuty<FleetState> fleet) {
		bind(traffic, peers);
		bindLog(appender, config, fleet);
	}

	void bind(TrafficDuty traffic, PeerDuty peers) {
		bindTraffic(traffic);
		bindPeers(peers);
	}

	void bind(TargetConnections targets, TunnelServer tunnels) {
		this.metrics.gauge("pistachioline.targets.unreachable", "Targets that only other daemons can connect to",
				() -> targets.reachability().unreachable().size());
		this.metrics.gauge("pistachioline.tunnels.open", "Open connections to targets on behalf of other daemons",
				tunnels::openTunnels);
		this.metrics.gauge("pistachioline.tunnels.established",
				"Connections to targets that were opened on behalf of other daemons", tunnels::establishedTunnels);
	}

	void bind(Relay relay, PeerDuty peers) {
		for (final String reason : IncompleteResponses.REASONS) {
			this.metrics.counter("pistachioline.responses.incomplete", "Responses that the daemon ended incomplete",
					reason, () -> relay.incompleteResponseCount(reason));
		}
		for (final UnexpectedReason reason : UnexpectedReason.values()) {
			this.metrics.counter("pistachioline.responses.unexpected",
					"Responses of targets that do not belong to the request on their connection", reason.code(),
					() -> relay.unexpectedResponseCount(reason));
		}
		for (final AnswerPart part : AnswerPart.values()) {
			this.metrics.counter("pistachioline.responses.malformed",
					"Responses of targets that break the grammar of HTTP", part.code(),
					() -> relay.malformedResponseCount(part));
		}
		this.metrics.gauge("pistachioline.responses.oversized",
				"Connections that were closed since a target sent too many bytes", relay::oversizedResponseCount);
		this.metrics.gauge("pistachioline.responses.kept", "Bytes of responses that are kept until they are complete",
				relay::keptResponseBytes);
		this.metrics.gauge("pistachioline.responses.kept.peak", "Most bytes that such responses had since the start",
				relay::keptResponsePeakBytes);
		this.metrics.gauge("pistachioline.responses.ended.for.sum",
				"Responses that were ended since all kept ones together were too large",
				relay::responsesEndedForSumCount);
		final LoopMonitor loop = relay.loopMonitor();
		this.metrics.gauge("pistachioline.callers.held",
				"Bytes of requests without an answer, and of answers that callers have not taken", relay::heldBytes);
		this.metrics.gauge("pistachioline.loop.lag",
				"Largest lag of the loop that serves callers in the last seconds, in milliseconds", loop::lagMillis);
		this.metrics.gauge("pistachioline.loop.refused", "Requests that were refused because that loop ran late",
				loop::refusedRequests);
		this.metrics.gauge("pistachioline.daemons.late", "Live daemons whose loop runs late, this one included",
				() -> peers.liveDaemons().stream().filter(DaemonRoom::isLate).count());
	}

	void bind(ListingDuty listing, Supplier<VersionLag> configuration) {
		this.metrics.gauge("pistachioline.config.version", "Version of the configuration in force",
				() -> configuration.get().inForce());
		this.metrics.gauge("pistachioline.config.newest", "Newest version of the configuration that is known of",
				() -> configuration.get().newest());
		this.metrics.gauge("pistachioline.config.behind",
				"Time for which a newer configuration has been known of, in milliseconds",
				() -> configuration.get().behindMillis());
		this.metrics.gauge("pistachioline.listing.age", "Time since the platform was asked for the known list",
				listing::ageMillis);
		this.metrics.gauge("pistachioline.listing.reader", "1 where this daemon reads the list for others",
				() -> listing.readsForOthers() ? 1 : 0);
	}

	void bind(FleetDemandExchange demand) {
		this.metrics.gauge("pistachioline.admission.restricted",
				"Models and services whose less urgent requests are refused",
				() -> demand.reports().stream().filter(AdmissionReport::restricted).count());
		this.metrics.gauge("pistachioline.admission.refused.rate",
				"Refused requests per second of all daemons, as estimated",
				() -> demand.reports().stream().mapToDouble(AdmissionReport::refusedPerSecond).sum());
		this.metrics.gauge("pistachioline.demand.wanted.slots",
				"Slots that the requests of all daemons need, as estimated",
				() -> demand.reports().stream().mapToDouble(AdmissionReport::wantedSlots).sum());
		this.metrics.gauge("pistachioline.demand.estimates.rejected",
				"Estimates of demand from peers that were impossible and not used", demand::rejectedEstimateCount);
	}

	void bind(ReplicaDuty replicas) {
		for (final IdleReason reason : IdleReason.values()) {
			this.metrics.gauge("pistachioline.instances.idle",
					"Instances that neither serve nor form a group, as the planner sees them",
					reason.name().toLowerCase(Locale.ROOT), () -> replicas.idleInstanceCount(reason));
		}
	}

	private void bindTraffic(TrafficDuty traffic) {
		this.metrics.gauge("pistachioline.requests.held", "Requests that have not ended", traffic::activeRequestCount);
		this.metrics.gauge("pistachioline.requests.queued", "Requests that wait for a target",
				traffic::queuedRequestCount);
		this.metrics.gauge("pistachioline.answers.dropped", "Answers that did not match a live attempt",
				traffic::droppedResponseCount);
		this.metrics.gauge("pistachioline.targets.limited", "Targets that name a limit",
				() -> traffic.limitReports().size());
		this.metrics.gauge("pistachioline.attempts.limited",
				"Attempts of the last four seconds at targets that name a limit",
				() -> traffic.limitReports().stream().mapToInt(LimitReport::recentAttempts).sum());
		this.metrics.gauge("pistachioline.targets.cold", "Targets that have not warmed up",
				() -> traffic.coldMonitor().reports().size());
		this.metrics.gauge("pistachioline.targets.backoff", "Targets that want no requests of this daemon",
				() -> traffic.backoffReports().size());
		this.metrics.gauge("pistachioline.attempts.backoff",
				"Attempts that were started at targets while they wanted no requests",
				() -> traffic.backoffReports().stream().mapToInt(BackoffReport::attempts).sum());
		this.metrics.gauge("pistachioline.requests.quarantined",
				"Requests that are sent nowhere, since targets died under them",
				traffic.crashMonitor()::quarantinedCount);
		for (final FailureReason reason : List.of(FailureReason.QUARANTINED, FailureReason.PART_QUARANTINED)) {
			this.metrics.counter("pistachioline.requests.refused.quarantined",
					"Requests that were refused or ended as quarantined", reason.code(),
					() -> traffic.failureCounts().total(reason));
		}
		bindPlacement(traffic);
		for (final ErrorKind kind : ErrorKind.values()) {
			this.metrics.counter("pistachioline.requests.failed", "Requests that ended with a failure", kind.code(),
					() -> traffic.failureCounts().total(kind));
		}
	}

	private void bindPlacement(TrafficDuty traffic) {
		this.metrics.gauge("pistachioline.placement.targets", "Targets in this daemon's subsets",
				() -> traffic.placementReport().subsetTargets());
		final String description = "Attempts of a daemon with subsets of the targets";
		this.metrics.counter("pistachioline.placement.attempts", description, "all",
				() -> traffic.placementReport().counts().attempts());
		this.metrics.counter("pistachioline.placement.attempts", description, "beyond_subset",
				() -> traffic.placementReport().counts().beyondSubset());
		this.metrics.counter("pistachioline.placement.attempts", description, "new_connection",
				() -> traffic.placementReport().counts().newConnections());
	}

	private void bindLog(AppendDuty appender, StreamDuty<ConfigState> config, StreamDuty<FleetState> fleet) {
		this.metrics.gauge("pistachioline.log.appends", "Appends sent to the log", appender.counts()::appends);
		this.metrics.gauge("pistachioline.log.appends.refused", "Appends that the log refused",
				appender.counts()::refused);
		this.metrics.gauge("pistachioline.log.appends.ambiguous", "Appends that lost their answer",
				appender.counts()::ambiguous);
		this.metrics.gauge("pistachioline.log.appends.held", "Times that an append waited for this daemon's share",
				appender.counts()::throttled);
		this.metrics.gauge("pistachioline.log.entries.skipped", "Broken entries that were skipped",
				() -> config.view().skippedEntries() + fleet.view().skippedEntries());
	}

	private void bindPeers(PeerDuty peers) {
		this.metrics.gauge("pistachioline.peers.live", "Live daemons, this one included",
				() -> peers.livePeers().size() + 1);
		this.metrics.gauge("pistachioline.peer.connections", "Open connections with other daemons",
				peers.transport()::connectionCount);
		for (final PeerFrame.BodyCase kind : PeerFrame.BodyCase.values()) {
			final String name = kind.name().toLowerCase(Locale.ROOT);
			count("sent", name, kind, peers.transport().sentMeter());
			count("received", name, kind, peers.transport().receivedMeter());
		}
	}

	private void count(String direction, String name, PeerFrame.BodyCase kind, PeerMeter meter) {
		this.metrics.counter("pistachioline.peer.bytes." + direction,
				"Bytes of frames " + direction + ", without TCP and TLS", name, () -> meter.byteCount(kind));
		this.metrics.counter("pistachioline.peer.frames." + direction, "Frames " + direction, name,
				() -> meter.frameCount(kind));
	}

	void bind(Ring<?> ring) {
		this.metrics.gauge("pistachioline.ring.messages", "Messages that wait in a ring between duties", ring.name(),
				ring::size);
		this.metrics.counter("pistachioline.ring.refused", "Times that a ring had no room", ring.name(),
				ring::refusedCount);
	}

}
