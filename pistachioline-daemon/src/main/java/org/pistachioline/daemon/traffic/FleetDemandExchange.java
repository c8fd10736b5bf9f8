package org.pistachioline.daemon.traffic;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.pistachioline.core.admission.AdmissionReport;
import org.pistachioline.core.admission.FleetAdmission;
import org.pistachioline.core.demand.DemandEstimate;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.daemon.peer.HeartbeatExchange;
import org.pistachioline.protocol.peer.Heartbeat;

/**
 * Exchanges estimates of demand with other daemons and shows operators what is admitted.
 * <p>
 * The admission belongs to the traffic duty's thread, which publishes snapshots here for
 * the heartbeats, the planner and operators.
 */
public final class FleetDemandExchange implements HeartbeatExchange {

	private static final long PUBLISH_NANOS = Duration.ofMillis(200).toNanos();

	private static final long LOG_NANOS = Duration.ofSeconds(2).toNanos();

	/** Workspaces are most of an estimate, and their shares change slowly. */
	private static final int HEARTBEATS_PER_WORKSPACES = 3;

	private final FleetAdmission admission;

	private final TrafficDuty traffic;

	private Set<String> loggedRestrictions = Set.of();

	private int heartbeatCount;

	private long publishedAtNanos = System.nanoTime() - PUBLISH_NANOS;

	private long loggedAtNanos = System.nanoTime() - LOG_NANOS;

	private volatile DemandEstimate meanDemand = DemandEstimate.NONE;

	private volatile DemandEstimate fleetDemand = DemandEstimate.NONE;

	private volatile List<AdmissionReport> reports = List.of();

	private volatile long rejectedEstimateCount;

	/**
	 * Creates an exchange and registers it with the traffic duty.
	 * @param admission the admission of the traffic duty's core
	 * @param traffic the duty that owns the admission
	 */
	public FleetDemandExchange(FleetAdmission admission, TrafficDuty traffic) {
		this.admission = admission;
		this.traffic = traffic;
		traffic.setTickListener(this::publish);
	}

	@Override
	public void addTo(Heartbeat.Builder heartbeat, long nowNanos) {
		this.heartbeatCount++;
		final boolean withWorkspaces = this.heartbeatCount % HEARTBEATS_PER_WORKSPACES == 0;
		final DemandEstimate estimate = withWorkspaces ? this.meanDemand : this.meanDemand.withoutWorkspaces();
		if (!estimate.rates().isEmpty()) {
			heartbeat.setDemandEstimate(DemandCodec.encode(estimate));
		}
	}

	@Override
	public void onHeartbeat(PeerStatus sender, Heartbeat heartbeat, long nowNanos) {
		if (heartbeat.hasDemandEstimate()) {
			final DemandEstimate heard = DemandCodec.decode(heartbeat.getDemandEstimate());
			// Dropped if the ring is full; the next heartbeat carries a newer estimate.
			this.traffic.offerTask((atNanos) -> this.admission.onPeerEstimate(atNanos, heard));
		}
	}

	private void publish(long nowNanos) {
		if (nowNanos - this.publishedAtNanos < PUBLISH_NANOS) {
			return;
		}
		this.publishedAtNanos = nowNanos;
		this.meanDemand = this.admission.meanDemand(nowNanos);
		this.fleetDemand = this.admission.fleetDemand(nowNanos);
		this.reports = this.admission.reports(nowNanos);
		this.rejectedEstimateCount = this.admission.rejectedEstimateCount();
		if (nowNanos - this.loggedAtNanos >= LOG_NANOS) {
			this.loggedAtNanos = nowNanos;
			logChanges();
		}
	}

	private void logChanges() {
		final Set<String> restricted = new HashSet<>();
		for (final AdmissionReport report : this.reports) {
			final boolean wasRestricted = this.loggedRestrictions.contains(report.name());
			if (report.restricted()) {
				restricted.add(report.name());
			}
			if (report.restricted() && !wasRestricted) {
				Events.log(EventId.ADMISSION_RESTRICTED, "name", report.name(), "slots", report.slots(), "wanted_slots",
						report.wantedSlots(), "kinds", report.kinds());
			}
			else if (wasRestricted && !report.restricted()) {
				Events.log(EventId.ADMISSION_UNRESTRICTED, "name", report.name(), "slots", report.slots(),
						"wanted_slots", report.wantedSlots());
			}
		}
		final Set<String> reported = this.reports.stream().map(AdmissionReport::name).collect(Collectors.toSet());
		this.loggedRestrictions.stream()
			.filter((name) -> !reported.contains(name))
			.forEach((name) -> Events.log(EventId.ADMISSION_UNRESTRICTED, "name", name, "slots", 0, "wanted_slots", 0));
		this.loggedRestrictions = restricted;
	}

	/**
	 * Returns the estimated demand of all daemons.
	 * @return the latest estimate
	 */
	public DemandEstimate fleetDemand() {
		return this.fleetDemand;
	}

	/**
	 * Returns what is admitted to each model and service, for operators.
	 * @return the reports, by name
	 */
	public List<AdmissionReport> reports() {
		return this.reports;
	}

	/**
	 * Returns the number of estimates of peers that were impossible and not used.
	 * @return the number of estimates
	 */
	public long rejectedEstimateCount() {
		return this.rejectedEstimateCount;
	}

}
