package org.pistachioline.daemon;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.pistachioline.core.cold.ColdTarget;
import org.pistachioline.daemon.port.InstanceListener;
import org.pistachioline.daemon.replica.ReplicaDuty;
import org.pistachioline.daemon.traffic.TrafficDuty;

/**
 * Passes the backoff, leaving and cold signals of instances to the duties that act on
 * them.
 *
 * @param traffic the duty that sends requests to targets
 * @param replicas the duty that plans groups
 */
record InstanceSignalDispatcher(TrafficDuty traffic, ReplicaDuty replicas) implements InstanceListener {

	@Override
	public void onBackoff(String instanceId, long forMillis) {
		this.traffic.onBackoff(instanceId, forMillis);
	}

	@Override
	public void onLeaving(String instanceId) {
		this.traffic.onLeaving(instanceId);
		this.replicas.onInstanceLeaving(instanceId);
	}

	@Override
	public void onCold(String instanceId, long remainingMillis) {
		final long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(remainingMillis);
		this.traffic.coldMonitor().onFound(List.of(new ColdTarget(instanceId, untilNanos)), true);
	}

}
