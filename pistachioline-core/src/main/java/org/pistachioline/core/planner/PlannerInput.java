package org.pistachioline.core.planner;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.state.FleetState;

/**
 * All that a planner knows when it decides.
 *
 * @param nowNanos the monotonic time
 * @param writer the planner's name as a writer on the log
 * @param manifest the manifest in force
 * @param configVersion its version
 * @param fleet the agreed groups
 * @param instances the instances as the platform lists them
 * @param missingRanks the missing ranks of each group that lacks any, by group id
 * @param busyGroups the groups that still run requests
 */
public record PlannerInput(long nowNanos, String writer, Manifest manifest, long configVersion, FleetState fleet,
		List<Instance> instances, Map<String, List<Integer>> missingRanks, Set<String> busyGroups) {

	public PlannerInput {
		instances = List.copyOf(instances);
		missingRanks = Map.copyOf(missingRanks);
		busyGroups = Set.copyOf(busyGroups);
	}

}
