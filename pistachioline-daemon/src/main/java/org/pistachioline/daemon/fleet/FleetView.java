package org.pistachioline.daemon.fleet;

import java.util.List;
import java.util.Map;

import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.traffic.TargetView;

/**
 * What this daemon knows of instances and targets at a moment; immutable.
 *
 * @param instances the instances as the platform lists them
 * @param missingRanks the missing ranks of each group that lacks any, by group id
 * @param targets every target, serving or not
 * @param listed whether the instance list was read once
 */
public record FleetView(List<Instance> instances, Map<String, List<Integer>> missingRanks, List<TargetView> targets,
		boolean listed) {

	/** Nothing is known. */
	public static final FleetView EMPTY = new FleetView(List.of(), Map.of(), List.of(), false);

	public FleetView {
		instances = List.copyOf(instances);
		missingRanks = Map.copyOf(missingRanks);
		targets = List.copyOf(targets);
	}

}
