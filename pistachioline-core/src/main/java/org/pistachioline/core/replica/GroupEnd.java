package org.pistachioline.core.replica;

/**
 * A group whose members are free for the planner.
 *
 * @param group the group
 * @param evidence what shows that its head no longer serves
 */
public record GroupEnd(GroupId group, Evidence evidence) {

	/**
	 * What shows that the head of a group no longer serves.
	 */
	public enum Evidence {

		/** The head reports that the group is broken. */
		HEAD_BROKEN,

		/** The head has left by order, or is outside the group. */
		HEAD_LEFT,

		/** A follower has left by order, for longer than the head's stall timeout. */
		FOLLOWER_LEFT,

		/** No order to open the group was ever sent. */
		NEVER_OPENED

	}

	static GroupEnd of(TrackedGroup tracked, GroupStatus status) {
		return new GroupEnd(tracked.id, evidence(tracked, status));
	}

	private static Evidence evidence(TrackedGroup tracked, GroupStatus status) {
		if (status.headState().filter((state) -> state == MemberState.BROKEN).isPresent()) {
			return Evidence.HEAD_BROKEN;
		}
		if (tracked.headLeft) {
			return Evidence.HEAD_LEFT;
		}
		return tracked.followerLeft ? Evidence.FOLLOWER_LEFT : Evidence.NEVER_OPENED;
	}

}
