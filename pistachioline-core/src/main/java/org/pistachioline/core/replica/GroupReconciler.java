package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reconciles every group on each planning pass: orders complete groups to open and groups
 * that lost a member to close, and determines whose members must not be reassigned yet.
 * <p>
 * It prevents two failures. If a group opened without all its members, callers would wait
 * for an answer that cannot come. An open order is therefore sent only when every member
 * itself reports that it is ready in exactly this group and epoch. If a member were
 * reassigned while the head still runs requests, these would be lost silently. A member
 * is therefore released only when its head is known to be closed or broken, or when
 * another member has left the head's group for longer than a head can run on without
 * noticing.
 */
final class GroupReconciler {

	/** Longest time until a member's report of its new group arrives. */
	private static final long JOIN_REPORT_TIMEOUT_NANOS = 2_500_000_000L;

	/**
	 * Time added to the stall timeout after a member has left, because a slow head
	 * notices the loss late.
	 */
	private static final long STALL_TIMEOUT_MARGIN_NANOS = 500_000_000L;

	/**
	 * Time after which the instance list shows the effect of an earlier planner's last
	 * orders.
	 */
	private static final long EARLIER_ORDERS_VISIBLE_NANOS = 600_000_000L;

	/** Interval after which an order without visible effect is sent again. */
	private static final long RESEND_INTERVAL_NANOS = 1_000_000_000L;

	/** Retention of the send times of orders; many times the resend interval. */
	private static final long SENT_RETENTION_NANOS = 60_000_000_000L;

	private final PlannerTimes times;

	private final UnansweredJoins unansweredJoins;

	private final Map<String, Long> sentAtNanos = new HashMap<>();

	private final Set<String> reservedIds = new HashSet<>();

	private final List<ReplicaOrder> orders = new ArrayList<>();

	private final Set<GroupId> activeGroups;

	/**
	 * Creates a reconciler.
	 * @param times the planner's timeouts
	 * @param unansweredJoins the join orders that may still arrive
	 * @param activeGroups the groups that have not ended; a live view of those that the
	 * planner tracks
	 */
	GroupReconciler(PlannerTimes times, UnansweredJoins unansweredJoins, Set<GroupId> activeGroups) {
		this.times = times;
		this.unansweredJoins = unansweredJoins;
		this.activeGroups = activeGroups;
	}

	void startPass(long nowNanos) {
		this.reservedIds.clear();
		this.orders.clear();
		this.sentAtNanos.values().removeIf((sentNanos) -> hasElapsed(nowNanos, sentNanos, SENT_RETENTION_NANOS));
	}

	/**
	 * Reconciles one group, and reserves its members unless the group has ended.
	 * @param nowNanos the monotonic time
	 * @param tracked the planner's state of the group
	 * @param instances all listed instances, by id
	 * @return whether the group has ended, so that its members are free
	 */
	boolean reconcile(long nowNanos, TrackedGroup tracked, Map<String, ServingInstance> instances) {
		final GroupStatus status = new GroupStatus(tracked, instances);
		final boolean ended = hasEnded(nowNanos, tracked, status, instances);
		if (!ended) {
			tracked.memberIds.stream().filter((id) -> id != null).forEach(this.reservedIds::add);
		}
		return ended;
	}

	private boolean hasEnded(long nowNanos, TrackedGroup tracked, GroupStatus status,
			Map<String, ServingInstance> instances) {
		final MemberState headState = status.headState().orElse(null);
		if (status.head().isEmpty()) {
			return hasEndedWithoutListedHead(nowNanos, tracked, status);
		}
		tracked.lastListedHead = status.head().get();
		if (headState == MemberState.BROKEN) {
			return true;
		}
		final boolean lost = !status.allListed() || status.anyInLaterGroup() || tracked.joinRefused || tracked.headLeft
				|| tracked.followerLeft;
		if (headState == MemberState.OPEN) {
			if (lost || status.anyDraining() || tracked.dissolving) {
				sendUnlessRecent(nowNanos, new ReplicaOrder.Close(status.head().get(), tracked.id, lost));
			}
			return false;
		}
		if (headState == MemberState.CLOSING) {
			return false;
		}
		if (lost || status.anyDraining() || tracked.dissolving) {
			return mayReleaseMembers(nowNanos, tracked, status.head().get());
		}
		if (status.allReady()) {
			// An earlier planner may have closed the group to reassign its members, with
			// orders that are still to be executed. If the group were reopened, such an
			// order could remove a member while the group serves. If the same members are
			// formed into a new group with a higher epoch, they reject the late orders
			// and are ready again within half a second.
			return tracked.formedByThisPlanner ? !orderOpen(nowNanos, tracked, status)
					: mayReleaseMembers(nowNanos, tracked, status.head().get());
		}
		return !status.allJoined() && cannotBecomeComplete(nowNanos, tracked, status, instances);
	}

	// A head that disappeared from the list may have failed, or it may have lost its
	// connection to the store, possibly to the daemons as well, and serve for as long as
	// its members can reach it. If the head answers a close order, its state is known at
	// once. If it does not, one follower is ordered to leave: a head that has lost a
	// member breaks after its stall timeout, so that the group has ended by then whether
	// or not the head is alive.
	private boolean hasEndedWithoutListedHead(long nowNanos, TrackedGroup tracked, GroupStatus status) {
		if (tracked.formedByThisPlanner && !tracked.openOrdered) {
			return true;
		}
		if (tracked.lastListedHead != null && ensureHeadLeft(nowNanos, tracked, tracked.lastListedHead)) {
			return true;
		}
		final boolean headOutOfReach = tracked.lastListedHead == null || tracked.headUnresponsive;
		return headOutOfReach && hasHeadStallTimeoutElapsed(nowNanos, tracked, status);
	}

	// Orders a follower to leave. Returns whether the head must have broken since.
	private boolean hasHeadStallTimeoutElapsed(long nowNanos, TrackedGroup tracked, GroupStatus status) {
		if (!tracked.followerLeft) {
			status.firstFollower((member) -> !this.unansweredJoins.mayUndoLeave(nowNanos, member))
				.ifPresent((member) -> sendUnlessRecent(nowNanos, new ReplicaOrder.Leave(member, tracked.id)));
			return false;
		}
		if (tracked.followerLeftAtNanos == 0) {
			// Measured from when the answer is processed, which is later than when the
			// member left.
			tracked.followerLeftAtNanos = nowNanos;
		}
		return hasElapsed(nowNanos, tracked.followerLeftAtNanos,
				this.times.stallTimeoutNanos() + STALL_TIMEOUT_MARGIN_NANOS);
	}

	// After an open order was sent, the head may still execute it seconds later, even
	// after a close. Only a head that has left the group can no longer open it.
	private boolean mayReleaseMembers(long nowNanos, TrackedGroup tracked, ServingInstance head) {
		if (tracked.formedByThisPlanner && !tracked.openOrdered) {
			return true;
		}
		return hasElapsed(nowNanos, tracked.trackedSinceNanos, EARLIER_ORDERS_VISIBLE_NANOS)
				&& ensureHeadLeft(nowNanos, tracked, head);
	}

	// Orders the head to close and then to leave. Returns whether it has left.
	private boolean ensureHeadLeft(long nowNanos, TrackedGroup tracked, ServingInstance head) {
		if (tracked.headLeft) {
			return true;
		}
		if (!tracked.headClosed) {
			sendUnlessRecent(nowNanos, new ReplicaOrder.Close(head, tracked.id, true));
		}
		else if (!this.unansweredJoins.mayUndoLeave(nowNanos, head)) {
			sendUnlessRecent(nowNanos, new ReplicaOrder.Leave(head, tracked.id));
		}
		return false;
	}

	private boolean orderOpen(long nowNanos, TrackedGroup tracked, GroupStatus status) {
		tracked.incompleteSinceNanos = 0;
		tracked.openOrdered = true;
		tracked.headClosed = false;
		sendUnlessRecent(nowNanos, new ReplicaOrder.Open(status.head().orElseThrow(), tracked.id));
		return true;
	}

	private boolean cannotBecomeComplete(long nowNanos, TrackedGroup tracked, GroupStatus status,
			Map<String, ServingInstance> instances) {
		if (!tracked.formedByThisPlanner) {
			// The orders of the previous planner are not fully known, so the group is
			// formed again. One of them may still open it.
			return hasElapsed(nowNanos, incompleteSince(nowNanos, tracked), JOIN_REPORT_TIMEOUT_NANOS)
					&& mayReleaseMembers(nowNanos, tracked, status.head().orElseThrow());
		}
		for (final String id : tracked.memberIds) {
			final ServingInstance instance = instances.get(id);
			if (!instance.isMemberOf(tracked.id) && !isInActiveGroup(instance)) {
				orderJoin(nowNanos, tracked, instance);
			}
		}
		return false;
	}

	void orderJoin(long nowNanos, TrackedGroup tracked, ServingInstance instance) {
		sendUnlessRecent(nowNanos, new ReplicaOrder.Join(instance, tracked.id, tracked.memberIds));
	}

	private void sendUnlessRecent(long nowNanos, ReplicaOrder.GroupOrder order) {
		final String key = order.instance().id() + ' ' + order.verb() + ' ' + order.group().epoch();
		final Long lastSentNanos = this.sentAtNanos.get(key);
		if (lastSentNanos == null || nowNanos - lastSentNanos >= RESEND_INTERVAL_NANOS) {
			this.sentAtNanos.put(key, nowNanos);
			this.orders.add(order);
		}
	}

	private static long incompleteSince(long nowNanos, TrackedGroup tracked) {
		if (tracked.incompleteSinceNanos == 0) {
			tracked.incompleteSinceNanos = nowNanos;
		}
		return tracked.incompleteSinceNanos;
	}

	private static boolean hasElapsed(long nowNanos, long sinceNanos, long boundNanos) {
		return nowNanos - sinceNanos >= boundNanos;
	}

	/**
	 * Returns whether an instance must not be assigned to another group. That includes an
	 * instance that no group lists as a member: a restarted one that has executed a join
	 * order meant for the instance that ran at its address before.
	 * @param instance the instance
	 * @return whether it belongs to a group that has not ended
	 */
	boolean isReserved(ServingInstance instance) {
		return this.reservedIds.contains(instance.id()) || isInActiveGroup(instance);
	}

	private boolean isInActiveGroup(ServingInstance instance) {
		return instance.membership().filter((membership) -> this.activeGroups.contains(membership.group())).isPresent();
	}

	void reserve(String instanceId) {
		this.reservedIds.add(instanceId);
	}

	List<ReplicaOrder> orders() {
		return List.copyOf(this.orders);
	}

}
