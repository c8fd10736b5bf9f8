package org.pistachioline.daemon.relay;

import java.util.OptionalDouble;
import java.util.function.BiConsumer;

import org.pistachioline.core.replica.LoadReport;
import org.pistachioline.daemon.traffic.TrafficDuty;

/**
 * Dispatches the reports of targets to the components that schedule by them.
 *
 * @param loadReceiver receives reported loads, by target id
 * @param traffic receives stated limits
 */
record TargetReportDispatcher(BiConsumer<String, LoadReport> loadReceiver,
		TrafficDuty traffic) implements TargetReportListener {

	@Override
	public void onLoad(String targetId, LoadReport load) {
		this.loadReceiver.accept(targetId, load);
	}

	@Override
	public void onLimit(String targetId, long sentAtNanos, OptionalDouble requestsPerSecond) {
		this.traffic.onLimit(targetId, sentAtNanos, requestsPerSecond);
	}

}
