package org.pistachioline.daemon.traffic;

import java.util.List;
import java.util.function.Predicate;

import org.pistachioline.core.limit.AdvertisedLimit;
import org.pistachioline.core.traffic.TrafficCore;

/**
 * Tells the core what targets said of what they take, and of those that died, and shows
 * what of it holds.
 */
final class TargetWatch {

	private final TrafficCore core;

	private final LimitWatch limits = new LimitWatch();

	private final BackoffWatch backoffs = new BackoffWatch();

	private final CrashWatch crashes;

	TargetWatch(TrafficCore core, Predicate<TrafficMessage> duty) {
		this.core = core;
		this.crashes = new CrashWatch(duty);
	}

	LimitWatch limits() {
		return this.limits;
	}

	BackoffWatch backoffs() {
		return this.backoffs;
	}

	CrashWatch crashes() {
		return this.crashes;
	}

	/**
	 * Takes a message, if it tells what targets take, or that they died.
	 * @param nowNanos the monotonic time
	 * @param message the message
	 * @return whether that changes what the core does
	 */
	boolean take(long nowNanos, TrafficMessage message) {
		if (message instanceof TrafficMessage.LimitHeard heard) {
			return onLimit(nowNanos, heard);
		}
		if (message instanceof TrafficMessage.LimitsTold told) {
			return onLimitsChanged(nowNanos, this.core.targetLimits().onPeerLimits(nowNanos, told.stated()), true);
		}
		if (message instanceof TrafficMessage.BackoffHeard heard) {
			return onBackoff(nowNanos, heard);
		}
		if (message instanceof TrafficMessage.LeavingHeard heard) {
			return onLeaving(nowNanos, heard.instanceId());
		}
		if (message instanceof TrafficMessage.TargetCrashed crashed) {
			return this.crashes.hear(nowNanos, crashed.crash(), this.core);
		}
		if (message instanceof TrafficMessage.SuspectedTold told) {
			return this.crashes.hearFromPeer(nowNanos, told.requests(), this.core);
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
		changed.forEach((heard) -> this.limits.onChange(heard, toldByPeer));
		if (!changed.isEmpty()) {
			this.limits.renew(nowNanos, this.core);
		}
		return !changed.isEmpty();
	}

	private boolean onBackoff(long nowNanos, TrafficMessage.BackoffHeard heard) {
		final boolean news = this.core.targetBackoffs()
			.onBackoff(heard.heardAtNanos(), heard.instanceId(), heard.forNanos());
		if (news) {
			this.backoffs.onBackoff(heard.instanceId(), heard.forNanos());
			this.backoffs.renew(nowNanos, this.core);
		}
		return news;
	}

	private boolean onLeaving(long nowNanos, String instanceId) {
		final boolean news = this.core.targetBackoffs().onLeaving(nowNanos, instanceId);
		if (news) {
			this.backoffs.onLeaving(instanceId);
			this.backoffs.renew(nowNanos, this.core);
		}
		return news;
	}

	void renew(long nowNanos) {
		this.limits.renew(nowNanos, this.core);
		this.backoffs.renew(nowNanos, this.core);
		this.crashes.renew(nowNanos, this.core);
	}

}
