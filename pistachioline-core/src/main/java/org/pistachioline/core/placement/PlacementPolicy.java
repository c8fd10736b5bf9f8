package org.pistachioline.core.placement;

import java.util.Optional;
import java.util.Set;

import org.pistachioline.core.traffic.RequestInfo;

/**
 * Chooses a target for a request.
 */
public interface PlacementPolicy {

	/**
	 * Chooses a target with room.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @param targets the targets of the model or service
	 * @param triedTargetIds the targets that failed this request before, to be avoided
	 * @return the target; empty where none has room
	 */
	Optional<TargetLoad> choose(long nowNanos, RequestInfo info, TargetSet targets, Set<String> triedTargetIds);

	/**
	 * Returns whether targets are guarded: stragglers ejected, slots shared between
	 * daemons.
	 * @return whether they are; the plain baselines do without
	 */
	default boolean protectsTargets() {
		return false;
	}

	/**
	 * Returns whether a group that was formed anew takes its full share of work at once.
	 * <p>
	 * Where groups break every few seconds and their survivors serve again as other
	 * groups, the slow start of a new target would leave half of a model's slots unused
	 * just when the fewest groups serve.
	 * @return whether it does; otherwise each new target starts slowly
	 */
	default boolean newGroupsSkipSlowStart() {
		return false;
	}

	/**
	 * Notes where a request went.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @param load the target
	 */
	default void onPlaced(long nowNanos, RequestInfo info, TargetLoad load) {
		// A policy without memory needs no feedback.
	}

	/**
	 * Takes word of what a target's prefix cache holds.
	 * @param nowNanos the monotonic time
	 * @param events the events, late and perhaps with gaps
	 */
	default void onCacheEvents(long nowNanos, CacheEvents events) {
		// A policy that ignores caches needs no events.
	}

	/**
	 * Forgets a target that is gone.
	 * @param targetId the target
	 */
	default void removeTarget(String targetId) {
		// A policy without memory has nothing to forget.
	}

}
