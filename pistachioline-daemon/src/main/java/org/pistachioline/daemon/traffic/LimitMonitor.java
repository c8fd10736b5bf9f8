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
 * Logs changes of the rate limits that targets state, and exposes the limits in force to
 * other threads.
 */
final class LimitMonitor {

	private volatile Set<String> latestLimitIds = Set.of();

	private volatile List<AdvertisedLimit> latestLimits = List.of();

	private volatile List<LimitReport> reports = List.of();

	/**
	 * Returns whether a response may change the known limits: it states a limit, or its
	 * instance has stated one recently. Most responses do neither and need not reach the
	 * traffic duty.
	 * @param instanceId the instance
	 * @param requestsPerSecond the limit that the response states; empty if it states
	 * none
	 * @return whether the limits may change
	 */
	boolean mayChangeLimit(String instanceId, OptionalDouble requestsPerSecond) {
		return requestsPerSecond.isPresent() || this.latestLimitIds.contains(instanceId);
	}

	void logChange(AdvertisedLimit limit, boolean reportedByPeer) {
		if (limit.requestsPerSecond().isPresent()) {
			Events.log(EventId.TARGET_LIMITED, "instance", limit.instanceId(), "requests_per_second",
					limit.requestsPerSecond().getAsDouble(), "told_by_peer", reportedByPeer);
		}
		else {
			Events.log(EventId.TARGET_UNLIMITED, "instance", limit.instanceId(), "told_by_peer", reportedByPeer);
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
