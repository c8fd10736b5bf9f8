package org.pistachioline.daemon.fleet;

import java.util.List;
import java.util.Map;

import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.presence.GroupProof;
import org.pistachioline.core.traffic.TargetView;

/**
 * What this daemon knows of instances and targets at a moment; immutable.
 *
 * @param instances the instances as the platform lists them
 * @param missingRanks the missing ranks of each group that lacks any, by group id; only
 * of groups that this daemon serves or plans
 * @param targets every target, serving or not
 * @param proofs what is known of each group that this daemon serves, by the group's epoch
 * @param listed whether the instance list was read once
 */
public record FleetView(List<Instance> instances, Map<String, List<Integer>> missingRanks, List<TargetView> targets,
		Map<Long, GroupProof> proofs, boolean listed) {

	/** Nothing is known. */
	public static final FleetView EMPTY = new FleetView(List.of(), Map.of(), List.of(), Map.of(), false);

	public FleetView {
		instances = List.copyOf(instances);
		missingRanks = Map.copyOf(missingRanks);
		targets = List.copyOf(targets);
		proofs = Map.copyOf(proofs);
	}

}
