package org.pistachioline.core.endpoints;

import java.util.List;

import org.pistachioline.core.peer.PeerStatus;

/**
 * Decides whether a restarted daemon relays synthetic requests before callers are
 * directed to it.
 * <p>
 * Code that the virtual machine has not yet compiled runs many times slower, so a
 * restarted daemon that receives its share of callers at once serves them late for about
 * eight seconds. If other daemons can carry the load, it warms up first. If all daemons
 * started together, no warm daemon is available, and daemons that held back would leave
 * all callers to the few that did not.
 */
public final class WarmUpPolicy {

	/**
	 * Time after which a daemon runs at full speed, also on a machine with less than one
	 * core.
	 */
	private static final long WARM_UP_MILLIS = 8_000;

	private WarmUpPolicy() {
	}

	/**
	 * Returns whether a daemon should warm up before it serves callers.
	 * @param self the daemon
	 * @param others the other live daemons
	 * @return true if there are at least as many warm daemons as cold ones, which can
	 * serve its callers meanwhile
	 */
	public static boolean shouldWarmUp(PeerStatus self, List<PeerStatus> others) {
		final long warm = others.stream()
			.filter((other) -> other.ready() && !other.leaving())
			.filter((other) -> self.incarnation() - other.incarnation() >= WARM_UP_MILLIS)
			.count();
		final long cold = others.size() + 1 - warm;
		return warm >= cold;
	}

}
