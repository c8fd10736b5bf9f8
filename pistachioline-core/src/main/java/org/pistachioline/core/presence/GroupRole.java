package org.pistachioline.core.presence;

import java.util.List;

import org.pistachioline.core.state.GroupState;

/**
 * This daemon's role for one group that it serves.
 *
 * @param group the group
 * @param position the daemon's position in the serving order; the daemon at position 0
 * probes the group
 * @param daemonsToAsk the ids of the daemons to ask for a proof, the preferred one first
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
