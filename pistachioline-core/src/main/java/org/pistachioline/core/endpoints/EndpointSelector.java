package org.pistachioline.core.endpoints;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;

import org.pistachioline.core.peer.PeerStatus;

/**
 * Chooses the addresses that callers are told to use: ready, not leaving, the near
 * availability zone first, then spread by load.
 * <p>
 * Made for callers that keep an answer for long and use its first address. Were the least
 * loaded daemon always first, every caller that asks within one beat would go there and
 * stay. So the order is drawn by chance that the answer's number fixes: a daemon at half
 * of another's load comes first about twice as often. Loads are not trusted below a
 * floor, since what callers will send later is not in them yet. Several addresses are
 * given, so that a caller survives a dead daemon without asking again; not all, since at
 * hundreds of daemons the answer would grow with the fleet.
 */
public final class EndpointSelector {

	/** Three in the near zone die together seldom; the others are for when they do. */
	private static final int MAX_ENDPOINTS = 8;

	private static final int MAX_SAME_ZONE = 5;

	private static final double MIN_LOAD_RATIO = 0.2;

	private static final double HASH_UNIT = 0x1.0p-32;

	private EndpointSelector() {
	}

	/**
	 * Chooses addresses.
	 * @param daemons the live daemons, this one included
	 * @param availabilityZone the caller's availability zone; empty where it is not known
	 * @param answer the number of the answer, which fixes the order
	 * @return the daemons to use, the best first
	 */
	public static List<PeerStatus> select(List<PeerStatus> daemons, String availabilityZone, long answer) {
		final List<PeerStatus> near = new ArrayList<>();
		final List<PeerStatus> far = new ArrayList<>();
		for (final PeerStatus daemon : daemons) {
			if (daemon.ready() && !daemon.leaving()) {
				(daemon.availabilityZone().equals(availabilityZone) ? near : far).add(daemon);
			}
		}
		final Comparator<PeerStatus> byDraw = Comparator
			.comparingDouble((PeerStatus daemon) -> exponentialSample(daemon, answer))
			.thenComparing(PeerStatus::daemonId);
		near.sort(byDraw);
		far.sort(byDraw);
		final List<PeerStatus> chosen = new ArrayList<>(near.subList(0, Math.min(MAX_SAME_ZONE, near.size())));
		chosen.addAll(far.subList(0, Math.min(MAX_ENDPOINTS - chosen.size(), far.size())));
		return chosen;
	}

	// The smallest of draws from exponential distributions with these rates belongs to
	// each daemon with a chance in proportion to its rate.
	private static double exponentialSample(PeerStatus daemon, long answer) {
		final long hash = MurmurHash3.hash32x86((daemon.daemonId() + '/' + answer).getBytes(StandardCharsets.UTF_8))
				& 0xFFFFFFFFL;
		final double uniform = (hash + 1) * HASH_UNIT;
		return -Math.log(uniform) * Math.max(MIN_LOAD_RATIO, daemon.loadRatio());
	}

}
