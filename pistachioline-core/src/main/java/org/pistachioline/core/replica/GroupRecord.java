package org.pistachioline.core.replica;

import java.util.List;

/**
 * What the planner remembers of one group.
 */
final class GroupRecord {

	/** The group. */
	final GroupId group;

	/** All members, the head first; a null stands for one that was never seen. */
	final List<String> memberIds;

	/** How many of its members had to load their weights. */
	final int loads;

	/** Whether this planner formed it, so that the list of members is known for sure. */
	final boolean formedHere;

	/** When it was formed or first seen, by the monotonic clock. */
	final long sinceNanos;

	/** When it was first seen incomplete, by the monotonic clock; 0 while it is whole. */
	long lossNanos;

	/** Whether an order to open it was sent. */
	boolean opened;

	/** The head as it was last listed; null where it never was. */
	ServingInstance lastHead;

	/** Whether the head has answered an order to close since the last order to open. */
	boolean closed;

	/** Whether the head is out of the group, so that no late order can open it again. */
	boolean left;

	/** Whether the head has left an order to close unanswered. */
	boolean headSilent;

	/** Whether a member other than the head has left on an order. */
	boolean memberLeft;

	/** When that was seen, by the monotonic clock; 0 before. */
	long memberLeftNanos;

	/** Whether it is closed so that its members can serve another model. */
	boolean dissolving;

	/** Whether an instance refused to join for good. */
	boolean refused;

	GroupRecord(GroupId group, List<String> memberIds, int loads, boolean formedHere, long sinceNanos) {
		this.group = group;
		this.memberIds = memberIds;
		this.loads = loads;
		this.formedHere = formedHere;
		this.sinceNanos = sinceNanos;
	}

	String headId() {
		return this.memberIds.get(0);
	}

}
