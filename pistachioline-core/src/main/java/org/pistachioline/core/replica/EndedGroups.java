package org.pistachioline.core.replica;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers groups that are over though members still report them.
 * <p>
 * Orders that were left unanswered may be carried out after the group's end, by a head
 * that has left it: a join makes it the head again, and an order to open makes it serve.
 * Such a group counts as any other from then on, so that it is closed before its members
 * are taken.
 */
final class EndedGroups {

	/** By then the list shows how the group ended. */
	private static final long END_VISIBLE_NANOS = 1_000_000_000L;

	private final Map<GroupId, EndedGroup> endedGroups = new HashMap<>();

	void add(long nowNanos, TrackedGroup known) {
		this.endedGroups.put(known.id, new EndedGroup(nowNanos, known.headLeft));
	}

	void clear() {
		this.endedGroups.clear();
	}

	/**
	 * Takes the groups that are over out of those that are reported.
	 * @param nowNanos the monotonic time
	 * @param reported the groups with the members that report them
	 */
	void removeEnded(long nowNanos, Map<GroupId, List<ServingInstance>> reported) {
		this.endedGroups.keySet().retainAll(reported.keySet());
		this.endedGroups.entrySet()
			.removeIf((entry) -> entry.getValue().isRevived(nowNanos, reported.get(entry.getKey())));
		reported.keySet().removeAll(this.endedGroups.keySet());
	}

	/**
	 * How a group ended, and what its head has shown since.
	 */
	private static final class EndedGroup {

		private final long endedAtNanos;

		private final boolean headLeft;

		private boolean headSeenOutside;

		EndedGroup(long atNanos, boolean headLeft) {
			this.endedAtNanos = atNanos;
			this.headLeft = headLeft;
		}

		boolean isRevived(long nowNanos, List<ServingInstance> members) {
			final Optional<MemberState> head = members.stream()
				.map((member) -> member.membership().orElseThrow())
				.filter((own) -> own.rank() == 0)
				.map(Membership::state)
				.findFirst();
			this.headSeenOutside |= this.headLeft && head.isEmpty();
			if (head.isEmpty() || head.get() == MemberState.BROKEN) {
				return false;
			}
			final boolean shown = nowNanos - this.endedAtNanos >= END_VISIBLE_NANOS;
			return this.headSeenOutside || (shown && (this.headLeft || isServing(head.get())));
		}

		private static boolean isServing(MemberState state) {
			return state == MemberState.OPEN || state == MemberState.CLOSING;
		}

	}

}
