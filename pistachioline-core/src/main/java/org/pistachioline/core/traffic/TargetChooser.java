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
final class TargetChooser {

	private final TargetBook targets;

	private final Isolation isolation;

	private final PlacementPolicy placement;

	TargetChooser(TargetBook targets, Isolation isolation, PlacementPolicy placement) {
		this.targets = targets;
		this.isolation = isolation;
		this.placement = placement;
	}

	Optional<TargetLoad> choose(long nowNanos, Flight flight) {
		if (this.isolation.restricts(flight.info)) {
			return choices(flight).stream().min(Comparator.comparingInt(TargetLoad::inFlight));
		}
		final TargetSet set = this.targets.set(flight.info);
		return (set != null) ? this.placement.choose(nowNanos, flight.info, set, avoided(flight)) : Optional.empty();
	}

	boolean hasChoice(Flight flight) {
		return !choices(flight).isEmpty();
	}

	boolean hasUntried(Flight flight) {
		return this.targets.open(flight.info)
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
	boolean isPlaceable(Flight flight) {
		return this.targets.members(flight.info)
			.stream()
			.anyMatch((load) -> load.view().serving() && load.mayStart(flight.info.totalDeadlineNanos())
					&& (flight.claimOffset >= 0 || !flight.triedTargetIds.contains(load.view().targetId())));
	}

	private List<TargetLoad> choices(Flight flight) {
		final Set<String> avoided = avoided(flight);
		return this.isolation.allowed(flight.info, this.targets.open(flight.info))
			.stream()
			.filter((load) -> !avoided.contains(load.view().targetId()))
			.toList();
	}

	private Set<String> avoided(Flight flight) {
		// The holder of a claim is only tried again after a connection that was not made,
		// which may succeed at the same instance when there is no other.
		final boolean mayReturn = flight.claimOffset >= 0 && !hasUntried(flight);
		return mayReturn ? Set.of() : flight.triedTargetIds;
	}

}
