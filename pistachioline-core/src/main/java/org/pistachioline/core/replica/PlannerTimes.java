package org.pistachioline.core.replica;

/**
 * The times that the planner keeps to.
 *
 * @param stallNanos how long a head goes on as though nothing had happened after it lost
 * a member; until then it may still hold requests of the group
 * @param loadWindowNanos over what time the rate of loads is counted
 * @param heartbeatNanos the time between two heartbeats of an instance
 */
public record PlannerTimes(long stallNanos, long loadWindowNanos, long heartbeatNanos) {

	/** The list drops an instance after this many heartbeats of silence. */
	private static final int SILENT_HEARTBEATS = 3;

	/**
	 * Returns how long after the list has dropped a head that cannot be reached its group
	 * may still hold requests. It was silent for some heartbeats by then, so that a part
	 * of the time has passed already.
	 * @return the time, in nanoseconds
	 */
	long goneNanos() {
		return this.stallNanos - (SILENT_HEARTBEATS - 1) * this.heartbeatNanos;
	}

}
