package org.pistachioline.core.replica;

import java.util.List;

/**
 * What the planner remembers of one group.
 */
final class TrackedGroup {

	/** The group. */
	final GroupId id;

	/** All members, the head first; a null stands for one that was never seen. */
	final List<String> memberIds;

	/** How many of its members had to load their weights. */
	final int weightLoads;

	/** Whether this planner formed it, so that the list of members is known for sure. */
	final boolean formedByThisPlanner;

	/** When it was formed or first seen, by the monotonic clock. */
	final long trackedSinceNanos;

	/** When it was first seen incomplete, by the monotonic clock; 0 while it is whole. */
	long incompleteSinceNanos;

	/** Whether an order to open it was sent. */
	boolean openOrdered;

	/** The head as it was last listed; null where it never was. */
	ServingInstance lastListedHead;

	/** Whether the head has answered an order to close since the last order to open. */
	boolean headClosed;

	/** Whether the head is out of the group, so that no late order can open it again. */
	boolean headLeft;

	/** Whether the head has left an order to close unanswered. */
	boolean headUnresponsive;

	/** Whether a member other than the head has left on an order. */
	boolean followerLeft;

	/** When that was seen, by the monotonic clock; 0 before. */
	long followerLeftAtNanos;

	/** Whether it is closed so that its members can serve another model. */
	boolean dissolving;

	/** Whether an instance refused to join for good. */
	boolean joinRefused;

	TrackedGroup(GroupId group, List<String> memberIds, int loads, boolean formedHere, long sinceNanos) {
		this.id = group;
		this.memberIds = memberIds;
		this.weightLoads = loads;
		this.formedByThisPlanner = formedHere;
		this.trackedSinceNanos = sinceNanos;
	}

	String headId() {
		return this.memberIds.get(0);
	}

}
