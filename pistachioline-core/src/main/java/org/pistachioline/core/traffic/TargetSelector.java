package org.pistachioline.core.traffic;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

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
			return candidates(nowNanos, request).stream().min(Comparator.comparingInt(TargetLoad::inFlight));
		}
		final TargetSet set = this.targets.targetSet(request.info);
		return (set != null) ? this.placement.choose(nowNanos, request.info, set, excludedTargetIds(nowNanos, request))
				: Optional.empty();
	}

	boolean hasCandidate(long nowNanos, ActiveRequest request) {
		return !candidates(nowNanos, request).isEmpty() || (!this.isolation.restricts(request.info)
				&& this.targets.targetsBeyondShares(request.info).stream().anyMatch(acceptance(nowNanos, request)));
	}

	/**
	 * Returns whether another target can take a stream whose target is silent or
	 * draining. One that the stream left before must have recovered, and a begun stream
	 * moves only as often as its route allows attempts: each move costs a prefill, and
	 * between two slow targets it might never get on.
	 * @param nowNanos the monotonic time
	 * @param request the request
	 * @return whether to take it off its target
	 */
	boolean canLeaveTarget(long nowNanos, ActiveRequest request) {
		if (!request.isBegunStream()) {
			return request.usedAttempts() < request.info.maxAttempts() && hasUntriedTarget(request);
		}
		return request.migrations < request.info.maxAttempts() && Stream
			.concat(this.targets.availableTargets(request.info).stream(),
					this.targets.targetsBeyondShares(request.info).stream())
			.filter((load) -> isAllowed(request, load))
			.anyMatch((load) -> isUntried(request, load)
					|| request.triedTargets.hasRecovered(load.view().targetId(), load.outputAtNanos()));
	}

	private boolean hasUntriedTarget(ActiveRequest request) {
		return hasUntried(request, this.targets.availableTargets(request.info))
				|| hasUntried(request, this.targets.targetsBeyondShares(request.info));
	}

	private static boolean hasUntried(ActiveRequest request, List<TargetLoad> loads) {
		return loads.stream().anyMatch((load) -> isUntried(request, load));
	}

	/**
	 * Returns whether some serving target that the request may be sent to, full or not,
	 * accepts an attempt before the request's deadline. If there is none, the request
	 * must be failed now, as waiting cannot succeed.
	 * @param request the request
	 * @return whether there is such a target
	 */
	boolean canBePlaced(ActiveRequest request) {
		return this.targets.allTargets(request.info)
			.stream()
			.anyMatch((load) -> load.view().serving() && load.mayStart(request.info.totalDeadlineNanos())
					&& (request.claimOffset >= 0 || isAllowed(request, load)));
	}

	private static boolean isUntried(ActiveRequest request, TargetLoad load) {
		return !request.triedTargets.ids().contains(load.view().targetId());
	}

	// A begun stream may also return to targets that did not fail it.
	private static boolean isAllowed(ActiveRequest request, TargetLoad load) {
		final String targetId = load.view().targetId();
		return request.isBegunStream() ? request.triedTargets.allows(targetId, request.info.maxAttempts())
				: !request.triedTargets.ids().contains(targetId);
	}

	private List<TargetLoad> candidates(long nowNanos, ActiveRequest request) {
		return this.isolation.filterAllowed(request.info, this.targets.availableTargets(request.info))
			.stream()
			.filter(acceptance(nowNanos, request))
			.toList();
	}

	private Predicate<TargetLoad> acceptance(long nowNanos, ActiveRequest request) {
		if (request.isBegunStream()) {
			return (load) -> isAllowed(request, load)
					&& request.triedTargets.isDue(nowNanos, load.view().targetId(), load.outputAtNanos());
		}
		// A request with a claim is only retried after a failure to connect, so it may
		// return to the same instance if there is no other.
		final boolean mayReturn = request.claimOffset >= 0 && !hasUntriedTarget(request);
		return (load) -> mayReturn || isUntried(request, load);
	}

	private Set<String> excludedTargetIds(long nowNanos, ActiveRequest request) {
		if (request.triedTargets.ids().isEmpty()) {
			return Set.of();
		}
		return this.targets.allTargets(request.info)
			.stream()
			.filter(acceptance(nowNanos, request).negate())
			.map((load) -> load.view().targetId())
			.collect(Collectors.toSet());
	}

}
