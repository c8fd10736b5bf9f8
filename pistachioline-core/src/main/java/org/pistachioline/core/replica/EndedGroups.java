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
	private static final long SHOWN_NANOS = 1_000_000_000L;

	private final Map<GroupId, End> ends = new HashMap<>();

	void add(long nowNanos, GroupRecord known) {
		this.ends.put(known.group, new End(nowNanos, known.left));
	}

	void clear() {
		this.ends.clear();
	}

	/**
	 * Takes the groups that are over out of those that are reported.
	 * @param nowNanos the monotonic time
	 * @param reported the groups with the members that report them
	 */
	void removeFrom(long nowNanos, Map<GroupId, List<ServingInstance>> reported) {
		this.ends.keySet().retainAll(reported.keySet());
		this.ends.entrySet().removeIf((entry) -> entry.getValue().isUndone(nowNanos, reported.get(entry.getKey())));
		reported.keySet().removeAll(this.ends.keySet());
	}

	/**
	 * How a group ended, and what its head has shown since.
	 */
	private static final class End {

		private final long atNanos;

		private final boolean headLeft;

		private boolean headShownOut;

		End(long atNanos, boolean headLeft) {
			this.atNanos = atNanos;
			this.headLeft = headLeft;
		}

		boolean isUndone(long nowNanos, List<ServingInstance> members) {
			final Optional<MemberState> head = members.stream()
				.map((member) -> member.membership().orElseThrow())
				.filter((own) -> own.rank() == 0)
				.map(Membership::state)
				.findFirst();
			this.headShownOut |= this.headLeft && head.isEmpty();
			if (head.isEmpty() || head.get() == MemberState.BROKEN) {
				return false;
			}
			final boolean shown = nowNanos - this.atNanos >= SHOWN_NANOS;
			return this.headShownOut || (shown && (this.headLeft || isServing(head.get())));
		}

		private static boolean isServing(MemberState state) {
			return state == MemberState.OPEN || state == MemberState.CLOSING;
		}

	}

}
