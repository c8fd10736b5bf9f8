package org.pistachioline.daemon.replica;

import java.util.Map;

/**
 * The results of probing all members of a group at the same time.
 *
 * @param startedNanos the monotonic time at which the probes were sent
 * @param answeredById whether each member answered, by its id
 */
record ProbeRound(long startedNanos, Map<String, Boolean> answeredById) {

	boolean isAnswered() {
		return this.answeredById.containsValue(true);
	}

}
