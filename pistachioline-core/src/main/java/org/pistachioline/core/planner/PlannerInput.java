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
 * All that a planner knows when it decides.
 *
 * @param nowNanos the monotonic time
 * @param writer the planner's name as a writer on the log
 * @param manifest the manifest in force
 * @param configVersion its version
 * @param fleet the agreed groups
 * @param instances the instances as the platform lists them
 * @param missingRanks the missing ranks of each group that lacks any, by group id
 * @param loads how busy each known group is, by group id
 * @param unresponsiveIds the instances of this planner's domains that do not answer
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
