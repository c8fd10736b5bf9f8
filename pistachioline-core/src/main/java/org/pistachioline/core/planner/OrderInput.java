package org.pistachioline.core.planner;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.presence.PresenceProof;
import org.pistachioline.core.state.FleetState;

/**
 * All that the giving of orders depends on.
 *
 * @param nowNanos the monotonic time
 * @param viewReadAtNanos the monotonic time from before the read that gave the state
 * @param manifest the manifest in force
 * @param fleet the agreed state
 * @param instances the instances as the platform lists them
 * @param provenEpochs the epochs of the groups of which every member is proven to hold
 * its place
 * @param proofsByInstance what each instance last said that it holds, by id
 */
public record OrderInput(long nowNanos, long viewReadAtNanos, Manifest manifest, FleetState fleet,
		List<Instance> instances, Set<Long> provenEpochs, Map<String, PresenceProof> proofsByInstance) {

	public OrderInput {
		instances = List.copyOf(instances);
		provenEpochs = Set.copyOf(provenEpochs);
		proofsByInstance = Map.copyOf(proofsByInstance);
	}

}
