package org.pistachioline.daemon.relay;

import java.util.OptionalDouble;
import java.util.function.BiConsumer;

import org.pistachioline.core.replica.LoadReport;
import org.pistachioline.daemon.traffic.TrafficDuty;

/**
 * Hands what targets say of themselves to the duties that decide by it.
 *
 * @param loadReceiver is told of loads, by target
 * @param traffic is told of limits
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
