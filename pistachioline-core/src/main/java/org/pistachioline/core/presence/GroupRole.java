package org.pistachioline.core.presence;

import java.util.List;

import org.pistachioline.core.state.GroupState;

/**
 * This daemon's part before one group that it serves.
 *
 * @param group the group
 * @param position its place in the serving order; the first probes
 * @param daemonsToAsk the daemons to ask, the preferred one first
 */
record GroupRole(GroupState group, int position, List<String> daemonsToAsk) {

	GroupRole {
		daemonsToAsk = List.copyOf(daemonsToAsk);
	}

	boolean isProber() {
		return this.position == 0;
	}

	boolean isStandby() {
		return this.position == 1;
	}

	boolean mayProbe() {
		return this.position < ServingOrder.MAX_PROBERS;
	}

}
