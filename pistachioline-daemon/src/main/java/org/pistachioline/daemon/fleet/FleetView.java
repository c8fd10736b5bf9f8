package org.pistachioline.daemon.fleet;

import java.util.List;
import java.util.Map;

import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.presence.GroupProof;
import org.pistachioline.core.traffic.TargetView;

/**
 * Immutable snapshot of what this daemon knows of instances and targets.
 *
 * @param instances the instances in the platform's instance list
 * @param missingRanks the ranks of absent members by group id, for groups that this
 * daemon serves or plans and that are not complete
 * @param targets all targets, whether they can serve or not
 * @param proofs the presence of each group that this daemon serves, by group epoch
 * @param listed whether the instance list has been read at least once
 */
public record FleetView(List<Instance> instances, Map<String, List<Integer>> missingRanks, List<TargetView> targets,
		Map<Long, GroupProof> proofs, boolean listed) {

	/** The view before the instance list has been read. */
	public static final FleetView EMPTY = new FleetView(List.of(), Map.of(), List.of(), Map.of(), false);

	public FleetView {
		instances = List.copyOf(instances);
		missingRanks = Map.copyOf(missingRanks);
		targets = List.copyOf(targets);
		proofs = Map.copyOf(proofs);
	}

}
