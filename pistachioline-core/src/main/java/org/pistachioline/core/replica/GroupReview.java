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
final class GroupReview {

	/** How long a member's word of its new group may be on its way. */
	private static final long REPORT_NANOS = 2_500_000_000L;

	/**
	 * How much longer than its stall time a head is given after a member left its group:
	 * a head that is slow notices the loss late.
	 */
	private static final long STALL_MARGIN_NANOS = 500_000_000L;

	/** By then the list shows what an earlier planner ordered last. */
	private static final long SETTLE_NANOS = 600_000_000L;

	/** An order that brought no visible change is sent again after this time. */
	private static final long REPEAT_NANOS = 1_000_000_000L;

	/** How long it is remembered that an order was sent; many times its repetition. */
	private static final long FORGET_NANOS = 60_000_000_000L;

	private final PlannerTimes times;

	private final Map<String, Long> sentAtNanos = new HashMap<>();

	private final Set<String> taken = new HashSet<>();

	private final List<ReplicaOrder> orders = new ArrayList<>();

	private final Set<GroupId> live;

	/**
	 * Creates a review.
	 * @param times the times to keep to
	 * @param live the groups that are not over, as the planner knows them
	 */
	GroupReview(PlannerTimes times, Set<GroupId> live) {
		this.times = times;
		this.live = live;
	}

	void begin(long nowNanos) {
		this.taken.clear();
		this.orders.clear();
		this.sentAtNanos.values().removeIf((sentNanos) -> isPast(nowNanos, sentNanos, FORGET_NANOS));
	}

	/**
	 * Looks at one group.
	 * @param nowNanos the monotonic time
	 * @param known what is remembered of it
	 * @param instances all listed instances, by id
	 * @return whether the group is over, so that its members are free
	 */
	boolean review(long nowNanos, GroupRecord known, Map<String, ServingInstance> instances) {
		final GroupSight sight = new GroupSight(known, instances);
		final boolean over = isOver(nowNanos, known, sight, instances);
		if (!over) {
			known.memberIds.stream().filter((id) -> id != null).forEach(this.taken::add);
		}
		return over;
	}

	private boolean isOver(long nowNanos, GroupRecord known, GroupSight sight, Map<String, ServingInstance> instances) {
		final MemberState headState = sight.headState().orElse(null);
		if (sight.head().isEmpty()) {
			return isHeadOver(nowNanos, known, sight);
		}
		known.lastHead = sight.head().get();
		if (headState == MemberState.BROKEN) {
			return true;
		}
		final boolean lost = !sight.allListed() || sight.anySuperseded() || known.refused || known.memberLeft;
		if (headState == MemberState.OPEN) {
			if (lost || sight.anyDraining() || known.dissolving) {
				send(nowNanos, new ReplicaOrder.Close(sight.head().get(), known.group, lost));
			}
			return false;
		}
		if (headState == MemberState.CLOSING) {
			return false;
		}
		if (lost || sight.anyDraining() || known.dissolving) {
			return mayGiveUp(nowNanos, known, sight.head().get());
		}
		if (sight.allPrepared()) {
			// An earlier planner may have closed its group to give the members away, with
			// orders that are still to be carried out. Opened again, the group would lose
			// a member to such an order while it serves. Formed anew under a higher
			// epoch, the same members refuse it, and are prepared again within half a
			// second.
			return known.formedHere ? !open(nowNanos, known, sight) : mayGiveUp(nowNanos, known, sight.head().get());
		}
		return !sight.allJoined() && !joinAgain(nowNanos, known, instances);
	}

	// A head that vanished from the list may have died, or it may have lost the way to
	// the store, or to the daemons as well, and go on serving for as long as its members
	// reach it. Its own answer to an order to close settles that at once. Where none
	// comes, one member is told to leave: a head that has lost a member breaks after its
	// stall time, wherever it is, so that its group is over then whether it lives or not.
	private boolean isHeadOver(long nowNanos, GroupRecord known, GroupSight sight) {
		if (known.formedHere && !known.opened) {
			return true;
		}
		if (known.lastHead != null && isHeadOut(nowNanos, known, known.lastHead)) {
			return true;
		}
		final boolean asked = known.lastHead == null || known.headSilent;
		return asked && isHeadBroken(nowNanos, known, sight);
	}

	private boolean isHeadBroken(long nowNanos, GroupRecord known, GroupSight sight) {
		if (!known.memberLeft) {
			sight.firstFollower().ifPresent((member) -> send(nowNanos, new ReplicaOrder.Leave(member, known.group)));
			return false;
		}
		if (known.memberLeftNanos == 0) {
			// Counted from when the answer is seen, which is later than when it took
			// effect.
			known.memberLeftNanos = nowNanos;
		}
		return isPast(nowNanos, known.memberLeftNanos, this.times.stallNanos() + STALL_MARGIN_NANOS);
	}

	// Once an order to open is out, the head may carry it out seconds later, also after a
	// close. Only a head that has left the group can no longer open it.
	private boolean mayGiveUp(long nowNanos, GroupRecord known, ServingInstance head) {
		if (known.formedHere && !known.opened) {
			return true;
		}
		return isPast(nowNanos, known.sinceNanos, SETTLE_NANOS) && isHeadOut(nowNanos, known, head);
	}

	private boolean isHeadOut(long nowNanos, GroupRecord known, ServingInstance head) {
		if (known.left) {
			return true;
		}
		send(nowNanos, known.closed ? new ReplicaOrder.Leave(head, known.group)
				: new ReplicaOrder.Close(head, known.group, true));
		return false;
	}

	private boolean open(long nowNanos, GroupRecord known, GroupSight sight) {
		known.lossNanos = 0;
		known.opened = true;
		known.closed = false;
		send(nowNanos, new ReplicaOrder.Open(sight.head().orElseThrow(), known.group));
		return true;
	}

	private boolean joinAgain(long nowNanos, GroupRecord known, Map<String, ServingInstance> instances) {
		if (!known.formedHere) {
			// What the last planner began is not known in full, so it is begun anew.
			return !isPast(nowNanos, lossSince(nowNanos, known), REPORT_NANOS);
		}
		for (final String id : known.memberIds) {
			final ServingInstance instance = instances.get(id);
			if (!instance.isMemberOf(known.group) && !isInLiveGroup(instance)) {
				join(nowNanos, known, instance);
			}
		}
		return true;
	}

	void join(long nowNanos, GroupRecord known, ServingInstance instance) {
		send(nowNanos, new ReplicaOrder.Join(instance, known.group, known.memberIds));
	}

	private void send(long nowNanos, ReplicaOrder.OfGroup order) {
		final String key = order.instance().id() + ' ' + order.verb() + ' ' + order.group().epoch();
		final Long sent = this.sentAtNanos.get(key);
		if (sent == null || nowNanos - sent >= REPEAT_NANOS) {
			this.sentAtNanos.put(key, nowNanos);
			this.orders.add(order);
		}
	}

	private static long lossSince(long nowNanos, GroupRecord known) {
		if (known.lossNanos == 0) {
			known.lossNanos = nowNanos;
		}
		return known.lossNanos;
	}

	private static boolean isPast(long nowNanos, long sinceNanos, long boundNanos) {
		return nowNanos - sinceNanos >= boundNanos;
	}

	/**
	 * Returns whether an instance must not be ordered into another group. That is so too
	 * for one that no group counts on: a new life that has carried out an order for the
	 * former one.
	 * @param instance the instance
	 * @return whether it belongs to a group that is not over
	 */
	boolean isTaken(ServingInstance instance) {
		return this.taken.contains(instance.id()) || isInLiveGroup(instance);
	}

	private boolean isInLiveGroup(ServingInstance instance) {
		return instance.membership().filter((own) -> this.live.contains(own.group())).isPresent();
	}

	void take(String instanceId) {
		this.taken.add(instanceId);
	}

	List<ReplicaOrder> orders() {
		return List.copyOf(this.orders);
	}

}
