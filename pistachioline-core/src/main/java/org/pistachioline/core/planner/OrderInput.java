package org.pistachioline.core.planner;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.presence.PresenceProof;
import org.pistachioline.core.state.FleetState;

/**
 * Everything that the decision on orders depends on.
 *
 * @param nowNanos the monotonic time
 * @param viewReadAtNanos the monotonic time just before the read of the log that gave the
 * state
 * @param manifest the manifest in force
 * @param fleet the fleet state from the log
 * @param instances the instances as the platform lists them
 * @param provenEpochs the epochs of the groups of which every member is proven to be
 * ready at its rank
 * @param proofsByInstance the last probe response of each instance, by id
 */
public record OrderInput(long nowNanos, long viewReadAtNanos, Manifest manifest, FleetState fleet,
		List<Instance> instances, Set<Long> provenEpochs, Map<String, PresenceProof> proofsByInstance) {

	public OrderInput {
		instances = List.copyOf(instances);
		provenEpochs = Set.copyOf(provenEpochs);
		proofsByInstance = Map.copyOf(proofsByInstance);
	}

}
