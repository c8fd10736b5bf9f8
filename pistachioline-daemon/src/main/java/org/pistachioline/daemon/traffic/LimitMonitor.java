package org.pistachioline.daemon.traffic;

import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.limit.AdvertisedLimit;
import org.pistachioline.core.limit.LimitReport;
import org.pistachioline.core.traffic.TrafficCore;
import org.pistachioline.daemon.event.Events;

/**
 * Shows the limits that targets name, and says which answers bring news of them.
 */
final class LimitMonitor {

	private volatile Set<String> latestLimitIds = Set.of();

	private volatile List<AdvertisedLimit> latestLimits = List.of();

	private volatile List<LimitReport> reports = List.of();

	/**
	 * Returns whether an answer may change what is known: it names a limit, or its target
	 * has named one lately. All others are nearly all answers.
	 * @param instanceId the instance
	 * @param requestsPerSecond the limit that it names; empty where it names none
	 * @return whether it may
	 */
	boolean mayChangeLimit(String instanceId, OptionalDouble requestsPerSecond) {
		return requestsPerSecond.isPresent() || this.latestLimitIds.contains(instanceId);
	}

	void logChange(AdvertisedLimit heard, boolean toldByPeer) {
		if (heard.requestsPerSecond().isPresent()) {
			Events.log(EventId.TARGET_LIMITED, "instance", heard.instanceId(), "requests_per_second",
					heard.requestsPerSecond().getAsDouble(), "told_by_peer", toldByPeer);
		}
		else {
			Events.log(EventId.TARGET_UNLIMITED, "instance", heard.instanceId(), "told_by_peer", toldByPeer);
		}
	}

	void refresh(long nowNanos, TrafficCore core) {
		this.reports = core.targetLimits().reports(nowNanos);
		this.latestLimits = core.targetLimits().latestLimits(nowNanos);
		this.latestLimitIds = this.latestLimits.stream()
			.map(AdvertisedLimit::instanceId)
			.collect(Collectors.toUnmodifiableSet());
	}

	List<AdvertisedLimit> latestLimits() {
		return this.latestLimits;
	}

	List<LimitReport> reports() {
		return this.reports;
	}

}
