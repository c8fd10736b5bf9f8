package org.pistachioline.daemon.traffic;

import java.util.List;
import java.util.function.Predicate;

import org.pistachioline.core.limit.AdvertisedLimit;
import org.pistachioline.core.placement.PlacementReport;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.traffic.TrafficCore;

/**
 * Applies the limits, backoffs, shutdowns, crashes and cold times of targets to the
 * traffic core, and exposes the resulting state to other threads.
 */
final class TargetMonitor {

	private final TrafficCore core;

	private final LimitMonitor limits = new LimitMonitor();

	private final BackoffMonitor backoffs = new BackoffMonitor();

	private final CrashMonitor crashes;

	private final ColdMonitor cold;

	private volatile PlacementReport placement = PlacementReport.NONE;

	TargetMonitor(TrafficCore core, Predicate<TrafficMessage> inbox) {
		this.core = core;
		this.crashes = new CrashMonitor(inbox);
		this.cold = new ColdMonitor(inbox);
	}

	LimitMonitor limits() {
		return this.limits;
	}

	BackoffMonitor backoffs() {
		return this.backoffs;
	}

	CrashMonitor crashes() {
		return this.crashes;
	}

	ColdMonitor cold() {
		return this.cold;
	}

	PlacementReport placement() {
		return this.placement;
	}

	/**
	 * Applies a message if it concerns a limit, a backoff, a shutdown or a crash of a
	 * target.
	 * @param nowNanos the monotonic time
	 * @param message the message
	 * @return whether the core's state changed, so that the queue must be checked again
	 */
	boolean handle(long nowNanos, TrafficMessage message) {
		if (message instanceof TrafficMessage.LimitReceived received) {
			return onLimit(nowNanos, received);
		}
		if (message instanceof TrafficMessage.PeerLimitsReceived reported) {
			return onLimitsChanged(nowNanos, this.core.targetLimits().onPeerLimits(nowNanos, reported.limits()), true);
		}
		if (message instanceof TrafficMessage.BackoffReceived received) {
			return onBackoff(nowNanos, received);
		}
		if (message instanceof TrafficMessage.LeavingReceived received) {
			return onLeaving(nowNanos, received.instanceId());
		}
		if (message instanceof TrafficMessage.ColdStartsChanged changed) {
			return this.cold.apply(nowNanos, changed, this.core);
		}
		if (message instanceof TrafficMessage.ZonesEvacuated evacuated) {
			this.core.targetEvacuation().onZones(evacuated.availabilityZones());
			return true;
		}
		if (message instanceof TrafficMessage.ColdTargetsFound found) {
			return this.cold.apply(nowNanos, found, this.core);
		}
		if (message instanceof TrafficMessage.PeerColdTargetsReceived received) {
			return this.cold.apply(nowNanos, received, this.core);
		}
		if (message instanceof TrafficMessage.TargetCrashed crashed) {
			this.cold.applyCrash(nowNanos, TargetView.instanceId(crashed.crash().targetId()), this.core);
			return this.crashes.applyCrash(nowNanos, crashed.crash(), this.core);
		}
		if (message instanceof TrafficMessage.PeerSuspectsReceived reported) {
			return this.crashes.applyPeerReports(nowNanos, reported.requests(), this.core);
		}
		return false;
	}

	private boolean onLimit(long nowNanos, TrafficMessage.LimitReceived received) {
		return this.core.targetLimits()
			.onResponse(nowNanos, received.sentAtNanos(), received.instanceId(), received.requestsPerSecond())
				&& onLimitsChanged(nowNanos,
						List.of(new AdvertisedLimit(received.instanceId(), received.requestsPerSecond(), nowNanos)),
						false);
	}

	private boolean onLimitsChanged(long nowNanos, List<AdvertisedLimit> changed, boolean reportedByPeer) {
		changed.forEach((limit) -> this.limits.logChange(limit, reportedByPeer));
		if (!changed.isEmpty()) {
			this.limits.refresh(nowNanos, this.core);
		}
		return !changed.isEmpty();
	}

	private boolean onBackoff(long nowNanos, TrafficMessage.BackoffReceived received) {
		final boolean changed = this.core.targetBackoffs()
			.onBackoff(received.receivedAtNanos(), received.instanceId(), received.forNanos());
		if (changed) {
			this.backoffs.logBackoff(received.instanceId(), received.forNanos());
			this.backoffs.refresh(nowNanos, this.core);
		}
		return changed;
	}

	private boolean onLeaving(long nowNanos, String instanceId) {
		final boolean changed = this.core.targetBackoffs().onLeaving(nowNanos, instanceId);
		if (changed) {
			this.backoffs.logLeaving(instanceId);
			this.backoffs.refresh(nowNanos, this.core);
		}
		return changed;
	}

	void refresh(long nowNanos) {
		this.limits.refresh(nowNanos, this.core);
		this.backoffs.refresh(nowNanos, this.core);
		this.crashes.refresh(nowNanos, this.core);
		this.cold.refresh(nowNanos, this.core);
		this.placement = this.core.placementReport();
	}

}
