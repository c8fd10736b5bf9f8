package org.pistachioline.daemon.traffic;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.pistachioline.core.backoff.BackoffReport;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.traffic.TrafficCore;
import org.pistachioline.daemon.event.Events;

/**
 * Shows the targets that want no requests of this daemon.
 */
final class BackoffMonitor {

	private volatile List<BackoffReport> reports = List.of();

	void logBackoff(String instanceId, long forNanos) {
		Events.log(EventId.TARGET_BACKOFF, "instance", instanceId, "for_millis",
				TimeUnit.NANOSECONDS.toMillis(forNanos));
	}

	void logLeaving(String instanceId) {
		Events.log(EventId.TARGET_LEAVING, "instance", instanceId);
	}

	void refresh(long nowNanos, TrafficCore core) {
		this.reports = core.targetBackoffs().reports(nowNanos);
	}

	List<BackoffReport> reports() {
		return this.reports;
	}

}
