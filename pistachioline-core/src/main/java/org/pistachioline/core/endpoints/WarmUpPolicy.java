package org.pistachioline.core.endpoints;

import java.util.List;

import org.pistachioline.core.peer.PeerStatus;

/**
 * Decides whether a restarted daemon relays made-up requests before callers are sent to
 * it.
 * <p>
 * Code that the virtual machine has not run often enough is interpreted, many times
 * slower. A restarted daemon that gets its share of callers at once serves them late for
 * some eight seconds. Where others carry the load meanwhile, it can run itself warm
 * first. Where all daemons started together nobody else is there, and whoever held back
 * would leave all callers to the few that did not.
 */
public final class WarmUpPolicy {

	/**
	 * By then a daemon is at its full speed, on a machine with less than one core too.
	 */
	private static final long WARM_UP_MILLIS = 8_000;

	private WarmUpPolicy() {
	}

	/**
	 * Decides for one daemon.
	 * @param self the daemon
	 * @param others the other live daemons
	 * @return whether at least as many others as there are cold daemons can serve its
	 * callers meanwhile
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
