package org.pistachioline.core.placement;

import java.util.Optional;
import java.util.Set;

import org.pistachioline.core.traffic.RequestInfo;

/**
 * A policy that chooses the target of each request.
 */
public interface PlacementPolicy {

	/**
	 * Chooses a target with free capacity.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @param targets the targets of the model or service
	 * @param triedTargetIds the targets at which this request failed before, which are
	 * avoided
	 * @return the target; empty where none has capacity
	 */
	Optional<TargetLoad> choose(long nowNanos, RequestInfo info, TargetSet targets, Set<String> triedTargetIds);

	/**
	 * Returns whether targets are protected from overload and callers from stragglers:
	 * slots are shared between daemons, and slow or failing targets are ejected.
	 * @return whether they are; false for the plain baselines
	 */
	default boolean protectsTargets() {
		return false;
	}

	/**
	 * Creates the set of the targets of a model or service that this policy chooses from.
	 * @return an empty set
	 */
	default TargetSet newTargetSet() {
		return new TargetSet(protectsTargets());
	}

	/**
	 * Returns whether a newly formed group receives its full share of requests at once.
	 * <p>
	 * Where groups fail every few seconds and their surviving instances form new groups,
	 * a slow start would leave half of a model's slots unused just when the fewest groups
	 * serve.
	 * @return whether it does; otherwise each new target goes through a slow start
	 */
	default boolean newGroupsSkipSlowStart() {
		return false;
	}

	/**
	 * Handles the placement of a request.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @param load the target
	 */
	default void onPlaced(long nowNanos, RequestInfo info, TargetLoad load) {
		// Stateless policies need no feedback.
	}

	/**
	 * Returns how often attempts left the subsets and reused connections.
	 * @return the counts, for policies with subsets
	 */
	default PlacementCounts counts() {
		return PlacementCounts.NONE;
	}

	/**
	 * Handles changes of a target's prefix cache.
	 * @param nowNanos the monotonic time
	 * @param events the changes, which arrive late and may have gaps
	 */
	default void onCacheEvents(long nowNanos, CacheEvents events) {
		// Policies that ignore caches need no events.
	}

	/**
	 * Drops the state of a target that no longer exists.
	 * @param targetId the target
	 */
	default void removeTarget(String targetId) {
		// Stateless policies have nothing to drop.
	}

}
