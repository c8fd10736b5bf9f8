package org.pistachioline.daemon;

import org.pistachioline.daemon.port.InstanceListener;
import org.pistachioline.daemon.replica.ReplicaDuty;
import org.pistachioline.daemon.traffic.TrafficDuty;

/**
 * Passes the backoff and leaving signals of instances to the duties that act on them.
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

}
