package org.pistachioline.daemon;

import org.pistachioline.daemon.port.InstanceListener;
import org.pistachioline.daemon.replica.ReplicaDuty;
import org.pistachioline.daemon.traffic.TrafficDuty;

/**
 * Hands what instances want of this daemon to the duties that decide by it.
 *
 * @param traffic sends requests
 * @param replicas plans groups
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
