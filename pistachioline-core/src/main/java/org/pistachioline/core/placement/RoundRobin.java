package org.pistachioline.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.pistachioline.core.traffic.RequestInfo;

/**
 * Chooses one target after the other; a baseline that knows nothing of load.
 */
public final class RoundRobin implements PlacementPolicy {

	private int next;

	@Override
	public Optional<TargetLoad> choose(long nowNanos, RequestInfo info, TargetSet targets, Set<String> triedTargetIds) {
		final List<TargetLoad> members = targets.members();
		for (int i = 0; i < members.size(); i++) {
			final TargetLoad load = members.get(Math.floorMod(this.next++, members.size()));
			if (load.setEntry().isAvailable() && !triedTargetIds.contains(load.view().targetId())) {
				return Optional.of(load);
			}
		}
		return Optional.empty();
	}

}
