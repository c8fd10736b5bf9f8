package org.pistachioline.core.planner;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.state.PlannerEpoch;

/**
 * Everything that a planner bases a plan on.
 *
 * @param nowNanos the monotonic time
 * @param writer the planner's writer name on the log
 * @param manifest the manifest in force
 * @param configVersion the manifest's version
 * @param fleet the fleet state from the log
 * @param instances the instances as the platform lists them
 * @param missingRanks the missing ranks of each incomplete group, by group id
 * @param loads the last reported load of each group, by group id
 * @param unresponsiveIds the ids of the instances in this planner's domains that do not
 * respond to probes
 */
public record PlannerInput(long nowNanos, String writer, Manifest manifest, long configVersion, FleetState fleet,
		List<Instance> instances, Map<String, List<Integer>> missingRanks, Map<String, GroupLoad> loads,
		Set<String> unresponsiveIds) {

	public PlannerInput {
		instances = List.copyOf(instances);
		missingRanks = Map.copyOf(missingRanks);
		loads = Map.copyOf(loads);
		unresponsiveIds = Set.copyOf(unresponsiveIds);
	}

	Optional<PlannerEpoch> ownEpoch(String domain) {
		return Optional.ofNullable(this.fleet.planners().get(domain))
			.filter((planner) -> planner.writer().equals(this.writer));
	}

}
