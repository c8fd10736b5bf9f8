package org.pistachioline.daemon.relay;

import java.util.OptionalDouble;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.pistachioline.core.replica.LoadReport;
import org.pistachioline.daemon.traffic.TrafficDuty;

/**
 * Hands what targets say of themselves to the duties that decide by it.
 *
 * @param loads is told of loads, by target
 * @param traffic is told of limits, of backoffs and of targets that leave
 * @param leaving is told of targets that leave, too
 */
record TargetNews(BiConsumer<String, LoadReport> loads, TrafficDuty traffic,
		Consumer<String> leaving) implements TargetListener {

	@Override
	public void onLoad(String targetId, LoadReport load) {
		this.loads.accept(targetId, load);
	}

	@Override
	public void onLimit(String targetId, long sentAtNanos, OptionalDouble requestsPerSecond) {
		this.traffic.limitHeard(targetId, sentAtNanos, requestsPerSecond);
	}

	@Override
	public void onBackoff(String targetId, long forMillis) {
		this.traffic.backoffHeard(targetId, forMillis);
	}

	@Override
	public void onLeaving(String targetId) {
		this.traffic.leavingHeard(targetId);
		this.leaving.accept(targetId);
	}

}
