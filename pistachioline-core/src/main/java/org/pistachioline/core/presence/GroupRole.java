package org.pistachioline.core.presence;

import java.util.List;

import org.pistachioline.core.state.GroupState;

/**
 * This daemon's part before one group that it serves.
 *
 * @param group the group
 * @param position its place in the serving order; the first probes
 * @param asked the daemons to ask, the preferred one first
 */
record GroupRole(GroupState group, int position, List<String> asked) {

	/**
	 * How many of the order probe a group whose proof grows old: two in the group's
	 * availability zone and two outside, so that a cut leaves some on either side, and no
	 * more, so that a dark fabric domain is not probed by all.
	 */
	static final int PROBERS = 4;

	GroupRole {
		asked = List.copyOf(asked);
	}

	boolean isProber() {
		return this.position == 0;
	}

	boolean isStandby() {
		return this.position == 1;
	}

	boolean mayProbe() {
		return this.position < PROBERS;
	}

}
