package org.pistachioline.core.replica;

/**
 * A group that served and whose members are free again.
 *
 * @param group the group
 * @param cause what ended its service
 * @param standstillNanos the time from when the planner saw that it no longer served
 * until its members were free
 */
public record GroupLoss(GroupId group, Cause cause, long standstillNanos) {

	/**
	 * What the planner saw first when a group ceased to serve.
	 */
	public enum Cause {

		/** A member did not answer probes, or its address refused connections. */
		UNRESPONSIVE,

		/** A member disappeared from the instance list. */
		DELISTED,

		/** The head reported that the group is broken. */
		BROKEN,

		/** A member is about to leave. */
		DRAINING,

		/** The planner closed the group in favour of another model. */
		EXCHANGED,

		/** A member reported another state. */
		OTHER

	}

}
