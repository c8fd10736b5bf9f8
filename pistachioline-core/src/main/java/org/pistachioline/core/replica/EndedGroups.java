package org.pistachioline.core.replica;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

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
		this.ends.entrySet().removeIf((entry) -> isAlive(nowNanos, entry.getValue(), reported.get(entry.getKey())));
		reported.keySet().removeAll(this.ends.keySet());
	}

	private static boolean isAlive(long nowNanos, End end, Collection<ServingInstance> members) {
		return nowNanos - end.atNanos() >= SHOWN_NANOS && members.stream()
			.map((member) -> member.membership().orElseThrow())
			.anyMatch((own) -> own.rank() == 0 && mayServe(own.state(), end.headLeft()));
	}

	private static boolean mayServe(MemberState state, boolean headLeft) {
		return state == MemberState.OPEN || state == MemberState.CLOSING || (headLeft && state != MemberState.BROKEN);
	}

	/**
	 * How a group ended.
	 *
	 * @param atNanos when, by the monotonic clock
	 * @param headLeft whether its head had left it
	 */
	private record End(long atNanos, boolean headLeft) {

	}

}
