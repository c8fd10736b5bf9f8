package org.pistachioline.core.replica;

import java.util.List;

/**
 * The planner's mutable state of one group.
 */
final class TrackedGroup {

	final GroupId id;

	/** Ids of all members, the head first; null for a member that was never seen. */
	final List<String> memberIds;

	/** Number of members that had to load their weights to join. */
	final int weightLoads;

	/** Whether this planner formed the group, so that its list of members is complete. */
	final boolean formedByThisPlanner;

	/** Monotonic time at which the group was formed or first seen. */
	final long trackedSinceNanos;

	/**
	 * Monotonic time at which the group was first seen incomplete; 0 while it is
	 * complete.
	 */
	long incompleteSinceNanos;

	/** Whether an open order may have been sent, by this planner or an earlier one. */
	boolean openOrdered;

	/** The head as it was last listed; null if it never was. */
	ServingInstance lastListedHead;

	/** Whether the head has answered a close order since the last open order. */
	boolean headClosed;

	/** Whether the head has left the group, so that no late order can open it again. */
	boolean headLeft;

	/** Whether the head did not answer an order or a probe. */
	boolean headUnresponsive;

	/** Whether a member other than the head has left the group by order. */
	boolean followerLeft;

	/** Monotonic time at which the planner noticed that a follower had left; 0 before. */
	long followerLeftAtNanos;

	/** Whether the group is being closed so that its members can serve another model. */
	boolean dissolving;

	/** Whether an instance has permanently refused to join. */
	boolean joinRefused;

	TrackedGroup(GroupId id, List<String> memberIds, int weightLoads, boolean formedByThisPlanner,
			long trackedSinceNanos) {
		this.id = id;
		this.memberIds = memberIds;
		this.weightLoads = weightLoads;
		this.formedByThisPlanner = formedByThisPlanner;
		this.trackedSinceNanos = trackedSinceNanos;
	}

	String headId() {
		return this.memberIds.get(0);
	}

}
