package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers groups that have ended although some members still report them.
 * <p>
 * Orders that were not answered may be executed after the group has ended, by a head that
 * has left it: a join makes it the head again, and an open makes it serve. From then on
 * such a group is tracked like any other, so that it is closed before its members are
 * reassigned.
 */
final class EndedGroups {

	/** Time after which the instance list reflects the end of a group. */
	private static final long END_VISIBLE_NANOS = 1_000_000_000L;

	/** Bounds the ends and revivals that nobody takes. */
	private static final int MAX_RECORDED = 1_000;

	private final Map<GroupId, EndedGroup> endedGroups = new HashMap<>();

	private final List<GroupEnd> ends = new ArrayList<>();

	private final List<GroupId> revivals = new ArrayList<>();

	void add(long nowNanos, TrackedGroup tracked, GroupStatus status) {
		this.endedGroups.put(tracked.id, new EndedGroup(nowNanos, tracked.headLeft));
		if (this.ends.size() < MAX_RECORDED) {
			this.ends.add(GroupEnd.of(tracked, status));
		}
	}

	List<GroupEnd> takeEnds() {
		final List<GroupEnd> taken = List.copyOf(this.ends);
		this.ends.clear();
		return taken;
	}

	List<GroupId> takeRevivals() {
		final List<GroupId> taken = List.copyOf(this.revivals);
		this.revivals.clear();
		return taken;
	}

	void clear() {
		this.endedGroups.clear();
	}

	/**
	 * Removes the ended groups from those that are reported, except for groups that late
	 * orders have revived.
	 * @param nowNanos the monotonic time
	 * @param reported the groups with the members that report them
	 */
	void removeEnded(long nowNanos, Map<GroupId, List<ServingInstance>> reported) {
		this.endedGroups.keySet().retainAll(reported.keySet());
		final List<GroupId> revived = this.endedGroups.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isRevived(nowNanos, reported.get(entry.getKey())))
			.map(Map.Entry::getKey)
			.toList();
		revived.forEach(this.endedGroups::remove);
		if (this.revivals.size() < MAX_RECORDED) {
			this.revivals.addAll(revived);
		}
		reported.keySet().removeAll(this.endedGroups.keySet());
	}

	/**
	 * The way a group ended, and what its head has reported since.
	 */
	private static final class EndedGroup {

		private final long endedAtNanos;

		private final boolean headLeft;

		private boolean headSeenOutside;

		EndedGroup(long endedAtNanos, boolean headLeft) {
			this.endedAtNanos = endedAtNanos;
			this.headLeft = headLeft;
		}

		boolean isRevived(long nowNanos, List<ServingInstance> members) {
			final Optional<MemberState> headState = members.stream()
				.map((member) -> member.membership().orElseThrow())
				.filter((membership) -> membership.rank() == 0)
				.map(Membership::state)
				.findFirst();
			this.headSeenOutside |= this.headLeft && headState.isEmpty();
			if (headState.isEmpty() || headState.get() == MemberState.BROKEN) {
				return false;
			}
			final boolean visible = nowNanos - this.endedAtNanos >= END_VISIBLE_NANOS;
			return this.headSeenOutside || (visible && (this.headLeft || isServing(headState.get())));
		}

		private static boolean isServing(MemberState state) {
			return state == MemberState.OPEN || state == MemberState.CLOSING;
		}

	}

}
