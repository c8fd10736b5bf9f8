package org.pistachioline.daemon.traffic;

import java.util.List;
import java.util.function.Predicate;

import org.pistachioline.core.limit.AdvertisedLimit;
import org.pistachioline.core.traffic.TrafficCore;

/**
 * Tells the core what targets said of what they take, and of those that died, and shows
 * what of it holds.
 */
final class TargetMonitor {

	private final TrafficCore core;

	private final LimitMonitor limits = new LimitMonitor();

	private final BackoffMonitor backoffs = new BackoffMonitor();

	private final CrashMonitor crashes;

	TargetMonitor(TrafficCore core, Predicate<TrafficMessage> duty) {
		this.core = core;
		this.crashes = new CrashMonitor(duty);
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

	/**
	 * Takes a message, if it tells what targets take, or that they died.
	 * @param nowNanos the monotonic time
	 * @param message the message
	 * @return whether that changes what the core does
	 */
	boolean handle(long nowNanos, TrafficMessage message) {
		if (message instanceof TrafficMessage.LimitHeard heard) {
			return onLimit(nowNanos, heard);
		}
		if (message instanceof TrafficMessage.LimitsTold told) {
			return onLimitsChanged(nowNanos, this.core.targetLimits().onPeerLimits(nowNanos, told.limits()), true);
		}
		if (message instanceof TrafficMessage.BackoffHeard heard) {
			return onBackoff(nowNanos, heard);
		}
		if (message instanceof TrafficMessage.LeavingHeard heard) {
			return onLeaving(nowNanos, heard.instanceId());
		}
		if (message instanceof TrafficMessage.TargetCrashed crashed) {
			return this.crashes.applyCrash(nowNanos, crashed.crash(), this.core);
		}
		if (message instanceof TrafficMessage.SuspectedTold told) {
			return this.crashes.applyPeerReports(nowNanos, told.requests(), this.core);
		}
		return false;
	}

	private boolean onLimit(long nowNanos, TrafficMessage.LimitHeard heard) {
		return this.core.targetLimits()
			.onResponse(nowNanos, heard.sentAtNanos(), heard.instanceId(), heard.requestsPerSecond())
				&& onLimitsChanged(nowNanos,
						List.of(new AdvertisedLimit(heard.instanceId(), heard.requestsPerSecond(), nowNanos)), false);
	}

	private boolean onLimitsChanged(long nowNanos, List<AdvertisedLimit> changed, boolean toldByPeer) {
		changed.forEach((heard) -> this.limits.logChange(heard, toldByPeer));
		if (!changed.isEmpty()) {
			this.limits.refresh(nowNanos, this.core);
		}
		return !changed.isEmpty();
	}

	private boolean onBackoff(long nowNanos, TrafficMessage.BackoffHeard heard) {
		final boolean news = this.core.targetBackoffs()
			.onBackoff(heard.receivedAtNanos(), heard.instanceId(), heard.forNanos());
		if (news) {
			this.backoffs.logBackoff(heard.instanceId(), heard.forNanos());
			this.backoffs.refresh(nowNanos, this.core);
		}
		return news;
	}

	private boolean onLeaving(long nowNanos, String instanceId) {
		final boolean news = this.core.targetBackoffs().onLeaving(nowNanos, instanceId);
		if (news) {
			this.backoffs.logLeaving(instanceId);
			this.backoffs.refresh(nowNanos, this.core);
		}
		return news;
	}

	void refresh(long nowNanos) {
		this.limits.refresh(nowNanos, this.core);
		this.backoffs.refresh(nowNanos, this.core);
		this.crashes.refresh(nowNanos, this.core);
	}

}
