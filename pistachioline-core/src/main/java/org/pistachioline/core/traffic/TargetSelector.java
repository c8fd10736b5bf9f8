package org.pistachioline.core.traffic;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.pistachioline.core.placement.PlacementPolicy;
import org.pistachioline.core.placement.TargetLoad;
import org.pistachioline.core.placement.TargetSet;

/**
 * Selects a target for a request by the placement policy, or by the rules of suspect
 * isolation while those apply to the request.
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

	Optional<TargetLoad> select(long nowNanos, ActiveRequest request) {
		if (this.isolation.restricts(request.info)) {
			return candidates(request).stream().min(Comparator.comparingInt(TargetLoad::inFlight));
		}
		final TargetSet set = this.targets.targetSet(request.info);
		return (set != null) ? this.placement.choose(nowNanos, request.info, set, excludedTargetIds(request))
				: Optional.empty();
	}

	boolean hasCandidate(ActiveRequest request) {
		return !candidates(request).isEmpty() || (!this.isolation.restricts(request.info)
				&& hasUntried(request, this.targets.targetsBeyondShares(request.info)));
	}

	boolean hasUntriedTarget(ActiveRequest request) {
		return hasUntried(request, this.targets.availableTargets(request.info))
				|| hasUntried(request, this.targets.targetsBeyondShares(request.info));
	}

	private static boolean hasUntried(ActiveRequest request, List<TargetLoad> loads) {
		return loads.stream().anyMatch((load) -> !request.triedTargetIds.contains(load.view().targetId()));
	}

	/**
	 * Returns whether some serving target that the request has not tried, full or not,
	 * accepts an attempt before the request's deadline. If there is none, the request
	 * must be failed now, as waiting cannot succeed.
	 * @param request the request
	 * @return whether there is such a target
	 */
	boolean canBePlaced(ActiveRequest request) {
		return this.targets.allTargets(request.info)
			.stream()
			.anyMatch((load) -> load.view().serving() && load.mayStart(request.info.totalDeadlineNanos())
					&& (request.claimOffset >= 0 || !request.triedTargetIds.contains(load.view().targetId())));
	}

	private List<TargetLoad> candidates(ActiveRequest request) {
		final Set<String> excluded = excludedTargetIds(request);
		return this.isolation.filterAllowed(request.info, this.targets.availableTargets(request.info))
			.stream()
			.filter((load) -> !excluded.contains(load.view().targetId()))
			.toList();
	}

	private Set<String> excludedTargetIds(ActiveRequest request) {
		// A request with a claim is only retried after a failure to connect, so it may
		// return to the same instance if there is no other.
		final boolean mayReturn = request.claimOffset >= 0 && !hasUntriedTarget(request);
		return mayReturn ? Set.of() : request.triedTargetIds;
	}

}
