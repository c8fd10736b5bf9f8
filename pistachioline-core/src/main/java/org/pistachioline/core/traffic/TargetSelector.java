package org.pistachioline.core.traffic;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.pistachioline.core.placement.PlacementPolicy;
import org.pistachioline.core.placement.TargetLoad;
import org.pistachioline.core.placement.TargetSet;

/**
 * Chooses a target for a request: by the placement policy, unless the request may crash
 * targets or runs beside one that may.
 */
final class TargetSelector {

	private final TargetRegistry targets;

	private final SuspectIsolation isolation;

	private final PlacementPolicy placement;

	TargetSelector(TargetRegistry targets, SuspectIsolation isolation, PlacementPolicy placement) {
		this.targets = targets;
		this.isolation = isolation;
		this.placement = placement;
	}

	Optional<TargetLoad> select(long nowNanos, ActiveRequest flight) {
		if (this.isolation.restricts(flight.info)) {
			return candidates(flight).stream().min(Comparator.comparingInt(TargetLoad::inFlight));
		}
		final TargetSet set = this.targets.targetSet(flight.info);
		return (set != null) ? this.placement.choose(nowNanos, flight.info, set, excludedTargetIds(flight))
				: Optional.empty();
	}

	boolean hasCandidate(ActiveRequest flight) {
		return !candidates(flight).isEmpty();
	}

	boolean hasUntriedTarget(ActiveRequest flight) {
		return this.targets.availableTargets(flight.info)
			.stream()
			.anyMatch((load) -> !flight.triedTargetIds.contains(load.view().targetId()));
	}

	/**
	 * Returns whether some target that the request has not failed at serves, with room or
	 * without, and takes an attempt before its time is up. With none it is given its
	 * answer now; waiting for one would be waiting for ever.
	 * @param flight the request
	 * @return whether there is one
	 */
	boolean canBePlaced(ActiveRequest flight) {
		return this.targets.allTargets(flight.info)
			.stream()
			.anyMatch((load) -> load.view().serving() && load.mayStart(flight.info.totalDeadlineNanos())
					&& (flight.claimOffset >= 0 || !flight.triedTargetIds.contains(load.view().targetId())));
	}

	private List<TargetLoad> candidates(ActiveRequest flight) {
		final Set<String> avoided = excludedTargetIds(flight);
		return this.isolation.filterAllowed(flight.info, this.targets.availableTargets(flight.info))
			.stream()
			.filter((load) -> !avoided.contains(load.view().targetId()))
			.toList();
	}

	private Set<String> excludedTargetIds(ActiveRequest flight) {
		// The holder of a claim is only tried again after a connection that was not made,
		// which may succeed at the same instance when there is no other.
		final boolean mayReturn = flight.claimOffset >= 0 && !hasUntriedTarget(flight);
		return mayReturn ? Set.of() : flight.triedTargetIds;
	}

}
