package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Looks at every group once a turn: opens those that are whole, closes those that lost a
 * member, and says whose members are not to be taken into another group yet.
 * <p>
 * Two things can go wrong. A group may be opened without all its members; callers then
 * wait for an answer that cannot come. So an order to open goes out only when every
 * member itself says that it is prepared under just this group and epoch. And a member
 * may be taken away while the group's head still runs requests; those would be lost in
 * silence. So a member is set free only once its head is known to be closed or broken, or
 * a member has left it for longer than a head can go on without noticing.
 */
final class GroupReconciler {

	/** How long a member's word of its new group may be on its way. */
	private static final long JOIN_REPORT_TIMEOUT_NANOS = 2_500_000_000L;

	/**
	 * How much longer than its stall time a head is given after a member left its group:
	 * a head that is slow notices the loss late.
	 */
	private static final long STALL_TIMEOUT_MARGIN_NANOS = 500_000_000L;

	/** By then the list shows what an earlier planner ordered last. */
	private static final long EARLIER_ORDERS_VISIBLE_NANOS = 600_000_000L;

	/** An order that brought no visible change is sent again after this time. */
	private static final long RESEND_INTERVAL_NANOS = 1_000_000_000L;

	/** How long it is remembered that an order was sent; many times its repetition. */
	private static final long SENT_RETENTION_NANOS = 60_000_000_000L;

	private final PlannerTimes times;

	private final Map<String, Long> sentAtNanos = new HashMap<>();

	private final Set<String> reservedIds = new HashSet<>();

	private final List<ReplicaOrder> orders = new ArrayList<>();

	private final Set<GroupId> activeGroups;

	/**
	 * Creates a review.
	 * @param times the times to keep to
	 * @param live the groups that are not over, as the planner knows them
	 */
	GroupReconciler(PlannerTimes times, Set<GroupId> live) {
		this.times = times;
		this.activeGroups = live;
	}

	void startPass(long nowNanos) {
		this.reservedIds.clear();
		this.orders.clear();
		this.sentAtNanos.values().removeIf((sentNanos) -> hasElapsed(nowNanos, sentNanos, SENT_RETENTION_NANOS));
	}

	/**
	 * Looks at one group.
	 * @param nowNanos the monotonic time
	 * @param known what is remembered of it
	 * @param instances all listed instances, by id
	 * @return whether the group is over, so that its members are free
	 */
	boolean reconcile(long nowNanos, TrackedGroup known, Map<String, ServingInstance> instances) {
		final GroupStatus sight = new GroupStatus(known, instances);
		final boolean over = hasEnded(nowNanos, known, sight, instances);
		if (!over) {
			known.memberIds.stream().filter((id) -> id != null).forEach(this.reservedIds::add);
		}
		return over;
	}

	private boolean hasEnded(long nowNanos, TrackedGroup known, GroupStatus sight,
			Map<String, ServingInstance> instances) {
		final MemberState headState = sight.headState().orElse(null);
		if (sight.head().isEmpty()) {
			return hasEndedWithoutListedHead(nowNanos, known, sight);
		}
		known.lastListedHead = sight.head().get();
		if (headState == MemberState.BROKEN) {
			return true;
		}
		final boolean lost = !sight.allListed() || sight.anyInLaterGroup() || known.joinRefused || known.followerLeft;
		if (headState == MemberState.OPEN) {
			if (lost || sight.anyDraining() || known.dissolving) {
				sendUnlessRecent(nowNanos, new ReplicaOrder.Close(sight.head().get(), known.id, lost));
			}
			return false;
		}
		if (headState == MemberState.CLOSING) {
			return false;
		}
		if (lost || sight.anyDraining() || known.dissolving) {
			return mayReleaseMembers(nowNanos, known, sight.head().get());
		}
		if (sight.allReady()) {
			// An earlier planner may have closed its group to give the members away, with
			// orders that are still to be carried out. Opened again, the group would lose
			// a member to such an order while it serves. Formed anew under a higher
			// epoch, the same members refuse it, and are prepared again within half a
			// second.
			return known.formedByThisPlanner ? !orderOpen(nowNanos, known, sight)
					: mayReleaseMembers(nowNanos, known, sight.head().get());
		}
		return !sight.allJoined() && !retryJoins(nowNanos, known, instances);
	}

	// A head that vanished from the list may have died, or it may have lost the way to
	// the store, or to the daemons as well, and go on serving for as long as its members
	// reach it. Its own answer to an order to close settles that at once. Where none
	// comes, one member is told to leave: a head that has lost a member breaks after its
	// stall time, wherever it is, so that its group is over then whether it lives or not.
	private boolean hasEndedWithoutListedHead(long nowNanos, TrackedGroup known, GroupStatus sight) {
		if (known.formedByThisPlanner && !known.openOrdered) {
			return true;
		}
		if (known.lastListedHead != null && ensureHeadLeft(nowNanos, known, known.lastListedHead)) {
			return true;
		}
		final boolean asked = known.lastListedHead == null || known.headUnresponsive;
		return asked && hasHeadStallTimeoutElapsed(nowNanos, known, sight);
	}

	private boolean hasHeadStallTimeoutElapsed(long nowNanos, TrackedGroup known, GroupStatus sight) {
		if (!known.followerLeft) {
			sight.firstFollower()
				.ifPresent((member) -> sendUnlessRecent(nowNanos, new ReplicaOrder.Leave(member, known.id)));
			return false;
		}
		if (known.followerLeftAtNanos == 0) {
			// Counted from when the answer is seen, which is later than when it took
			// effect.
			known.followerLeftAtNanos = nowNanos;
		}
		return hasElapsed(nowNanos, known.followerLeftAtNanos,
				this.times.stallTimeoutNanos() + STALL_TIMEOUT_MARGIN_NANOS);
	}

	// Once an order to open is out, the head may carry it out seconds later, also after a
	// close. Only a head that has left the group can no longer open it.
	private boolean mayReleaseMembers(long nowNanos, TrackedGroup known, ServingInstance head) {
		if (known.formedByThisPlanner && !known.openOrdered) {
			return true;
		}
		return hasElapsed(nowNanos, known.trackedSinceNanos, EARLIER_ORDERS_VISIBLE_NANOS)
				&& ensureHeadLeft(nowNanos, known, head);
	}

	private boolean ensureHeadLeft(long nowNanos, TrackedGroup known, ServingInstance head) {
		if (known.headLeft) {
			return true;
		}
		sendUnlessRecent(nowNanos, known.headClosed ? new ReplicaOrder.Leave(head, known.id)
				: new ReplicaOrder.Close(head, known.id, true));
		return false;
	}

	private boolean orderOpen(long nowNanos, TrackedGroup known, GroupStatus sight) {
		known.incompleteSinceNanos = 0;
		known.openOrdered = true;
		known.headClosed = false;
		sendUnlessRecent(nowNanos, new ReplicaOrder.Open(sight.head().orElseThrow(), known.id));
		return true;
	}

	private boolean retryJoins(long nowNanos, TrackedGroup known, Map<String, ServingInstance> instances) {
		if (!known.formedByThisPlanner) {
			// What the last planner began is not known in full, so it is begun anew.
			return !hasElapsed(nowNanos, incompleteSince(nowNanos, known), JOIN_REPORT_TIMEOUT_NANOS);
		}
		for (final String id : known.memberIds) {
			final ServingInstance instance = instances.get(id);
			if (!instance.isMemberOf(known.id) && !isInActiveGroup(instance)) {
				orderJoin(nowNanos, known, instance);
			}
		}
		return true;
	}

	void orderJoin(long nowNanos, TrackedGroup known, ServingInstance instance) {
		sendUnlessRecent(nowNanos, new ReplicaOrder.Join(instance, known.id, known.memberIds));
	}

	private void sendUnlessRecent(long nowNanos, ReplicaOrder.GroupOrder order) {
		final String key = order.instance().id() + ' ' + order.verb() + ' ' + order.group().epoch();
		final Long sent = this.sentAtNanos.get(key);
		if (sent == null || nowNanos - sent >= RESEND_INTERVAL_NANOS) {
			this.sentAtNanos.put(key, nowNanos);
			this.orders.add(order);
		}
	}

	private static long incompleteSince(long nowNanos, TrackedGroup known) {
		if (known.incompleteSinceNanos == 0) {
			known.incompleteSinceNanos = nowNanos;
		}
		return known.incompleteSinceNanos;
	}

	private static boolean hasElapsed(long nowNanos, long sinceNanos, long boundNanos) {
		return nowNanos - sinceNanos >= boundNanos;
	}

	/**
	 * Returns whether an instance must not be ordered into another group. That is so too
	 * for one that no group counts on: a new life that has carried out an order for the
	 * former one.
	 * @param instance the instance
	 * @return whether it belongs to a group that is not over
	 */
	boolean isReserved(ServingInstance instance) {
		return this.reservedIds.contains(instance.id()) || isInActiveGroup(instance);
	}

	private boolean isInActiveGroup(ServingInstance instance) {
		return instance.membership().filter((own) -> this.activeGroups.contains(own.group())).isPresent();
	}

	void reserve(String instanceId) {
		this.reservedIds.add(instanceId);
	}

	List<ReplicaOrder> orders() {
		return List.copyOf(this.orders);
	}

}
