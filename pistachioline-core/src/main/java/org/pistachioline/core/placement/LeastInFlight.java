package org.pistachioline.core.placement;

import java.util.Optional;
import java.util.Set;

import org.pistachioline.core.traffic.RequestInfo;

/**
 * Chooses the target with the fewest attempts of this daemon; the usual baseline.
 */
public final class LeastInFlight implements PlacementPolicy {

	@Override
	public Optional<TargetLoad> choose(long nowNanos, RequestInfo info, TargetSet targets, Set<String> triedTargetIds) {
		TargetLoad best = null;
		for (final TargetLoad load : targets.available()) {
			final boolean usable = !triedTargetIds.contains(load.view().targetId());
			if (usable && (best == null || load.inFlight() < best.inFlight())) {
				best = load;
			}
		}
		return Optional.ofNullable(best);
	}

}
