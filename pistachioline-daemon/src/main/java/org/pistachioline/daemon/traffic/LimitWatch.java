package org.pistachioline.daemon.traffic;

import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.limit.LimitReport;
import org.pistachioline.core.traffic.TrafficCore;
import org.pistachioline.daemon.event.Events;

/**
 * Shows the limits that targets name, and says which answers bring news of them.
 */
final class LimitWatch {

	private volatile Set<String> limitedIds = Set.of();

	private volatile List<LimitReport> reports = List.of();

	/**
	 * Returns whether an answer may change what is known: it names a limit, or its target
	 * has named one before. All others are nearly all answers.
	 * @param instanceId the instance
	 * @param requestsPerSecond the limit that it names; empty where it names none
	 * @return whether it may
	 */
	boolean isNews(String instanceId, OptionalDouble requestsPerSecond) {
		return requestsPerSecond.isPresent() || this.limitedIds.contains(instanceId);
	}

	void onChange(String instanceId, OptionalDouble requestsPerSecond) {
		if (requestsPerSecond.isPresent()) {
			Events.log(EventId.TARGET_LIMITED, "instance", instanceId, "requests_per_second",
					requestsPerSecond.getAsDouble());
		}
		else {
			Events.log(EventId.TARGET_UNLIMITED, "instance", instanceId);
		}
	}

	void renew(long nowNanos, TrafficCore core) {
		this.reports = core.limits(nowNanos);
		this.limitedIds = this.reports.stream().map(LimitReport::instanceId).collect(Collectors.toUnmodifiableSet());
	}

	List<LimitReport> reports() {
		return this.reports;
	}

}
