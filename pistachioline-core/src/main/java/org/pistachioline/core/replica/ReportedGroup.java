package org.pistachioline.core.replica;

import java.util.Arrays;
import java.util.Collection;
import java.util.Optional;

import org.pistachioline.core.route.EngineModel;

/**
 * Reconstructs groups that another planner formed, which are known only from their
 * members' reports.
 */
final class ReportedGroup {

	private ReportedGroup() {
	}

	/**
	 * Reconstructs a group from the reports of its members.
	 * @param view the current input
	 * @param group the group
	 * @param model the group's model
	 * @param members the members that report it
	 * @param previous what is known of the group; null if nothing is
	 * @return the group
	 */
	static TrackedGroup reconstruct(PlannerView view, GroupId group, EngineModel model,
			Collection<ServingInstance> members, TrackedGroup previous) {
		final String[] ids = new String[model.members()];
		members.forEach((instance) -> {
			final int rank = instance.membership().orElseThrow().rank();
			if (rank >= 0 && rank < ids.length) {
				ids[rank] = instance.id();
			}
		});
		final Optional<ServingInstance> delistedHead = view.delisted()
			.stream()
			.filter((instance) -> instance.isMemberOf(group) && instance.membership().orElseThrow().rank() == 0)
			.findFirst();
		if (ids[0] == null) {
			ids[0] = delistedHead.map(ServingInstance::id).orElse(null);
		}
		if (previous != null) {
			// A member that has left no longer reports the group, but it is not free yet.
			for (int rank = 0; rank < ids.length; rank++) {
				ids[rank] = (ids[rank] != null) ? ids[rank] : previous.memberIds.get(rank);
			}
		}
		final TrackedGroup reconstructed = new TrackedGroup(group, Arrays.asList(ids), 0, false,
				(previous != null) ? previous.trackedSinceNanos : view.nowNanos());
		reconstructed.lastListedHead = delistedHead.orElse(null);
		reconstructed.openOrdered = true;
		if (previous != null) {
			reconstructed.incompleteSinceNanos = previous.incompleteSinceNanos;
			reconstructed.headClosed = previous.headClosed;
			reconstructed.headLeft = previous.headLeft;
			reconstructed.headUnresponsive = previous.headUnresponsive;
			reconstructed.followerLeft = previous.followerLeft;
			reconstructed.followerLeftAtNanos = previous.followerLeftAtNanos;
		}
		return reconstructed;
	}

}
