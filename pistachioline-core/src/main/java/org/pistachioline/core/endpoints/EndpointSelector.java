package org.pistachioline.core.endpoints;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;

import org.pistachioline.core.peer.PeerStatus;

/**
 * Selects the daemons whose addresses are returned to a caller: ready and not leaving,
 * the caller's availability zone first, weighted by load. Daemons that are partitioned
 * from the targets are left out as long as the others are at least as many.
 * <p>
 * Callers keep a response for long and use its first address. If the least loaded daemon
 * always came first, all callers that ask within one heartbeat would go to it and stay.
 * Hence the order is random, seeded by the number of the lookup, and a daemon at half the
 * load of another comes first about twice as often. Loads are clamped from below, since
 * they do not yet include what callers will send later. Several addresses are returned so
 * that a caller survives the failure of a daemon without another lookup, but not all,
 * since the response would grow with a fleet of hundreds of daemons.
 */
public final class EndpointSelector {

	/**
	 * Maximum number of daemons, of which at most {@link #MAX_SAME_ZONE} are in the
	 * caller's zone. These seldom all fail together; the others serve as fallback.
	 */
	private static final int MAX_ENDPOINTS = 8;

	private static final int MAX_SAME_ZONE = 5;

	private static final double MIN_LOAD_RATIO = 0.2;

	private static final double HASH_UNIT = 0x1.0p-32;

	private EndpointSelector() {
	}

	/**
	 * Selects daemons for one lookup.
	 * @param daemons the live daemons, including this one
	 * @param availabilityZone the caller's availability zone; empty if unknown
	 * @param lookup the number of the lookup, which seeds the order
	 * @return at most eight daemons, preferred first
	 */
	public static List<PeerStatus> select(List<PeerStatus> daemons, String availabilityZone, long lookup) {
		return select(daemons, availabilityZone, lookup, DaemonRoom.EQUAL);
	}

	/**
	 * Selects daemons for one lookup by the room that they have.
	 * @param daemons the live daemons, including this one
	 * @param availabilityZone the caller's availability zone; empty if unknown
	 * @param lookup the number of the lookup, which seeds the order
	 * @return at most eight daemons, preferred first; a daemon with twice the room of
	 * another comes first about twice as often
	 */
	public static List<PeerStatus> selectByRoom(List<PeerStatus> daemons, String availabilityZone, long lookup) {
		return select(daemons, availabilityZone, lookup, DaemonRoom.of(daemons));
	}

	private static List<PeerStatus> select(List<PeerStatus> daemons, String availabilityZone, long lookup,
			DaemonRoom room) {
		final List<PeerStatus> sameZone = new ArrayList<>();
		final List<PeerStatus> otherZones = new ArrayList<>();
		for (final PeerStatus daemon : preferred(daemons)) {
			(daemon.availabilityZone().equals(availabilityZone) ? sameZone : otherZones).add(daemon);
		}
		final Comparator<PeerStatus> bySample = Comparator
			.comparingDouble((PeerStatus daemon) -> exponentialSample(daemon, lookup) / room.weight(daemon))
			.thenComparing(PeerStatus::daemonId);
		sameZone.sort(bySample);
		otherZones.sort(bySample);
		final List<PeerStatus> selected = new ArrayList<>(
				sameZone.subList(0, Math.min(MAX_SAME_ZONE, sameZone.size())));
		selected.addAll(otherZones.subList(0, Math.min(MAX_ENDPOINTS - selected.size(), otherZones.size())));
		return selected;
	}

	// A partitioned daemon serves its callers through another one, which costs both of
	// them. If most daemons are partitioned, the others could not take all callers.
	private static List<PeerStatus> preferred(List<PeerStatus> daemons) {
		final List<PeerStatus> ready = daemons.stream()
			.filter((daemon) -> daemon.ready() && !daemon.leaving())
			.toList();
		final List<PeerStatus> connected = ready.stream().filter((daemon) -> !daemon.partitioned()).toList();
		return (2 * connected.size() >= ready.size()) ? connected : ready;
	}

	// The minimum of exponentially distributed samples belongs to each daemon with a
	// probability proportional to its rate, the inverse of its load.
	private static double exponentialSample(PeerStatus daemon, long lookup) {
		final long hash = MurmurHash3.hash32x86((daemon.daemonId() + '/' + lookup).getBytes(StandardCharsets.UTF_8))
				& 0xFFFFFFFFL;
		final double uniform = (hash + 1) * HASH_UNIT;
		return -Math.log(uniform) * Math.max(MIN_LOAD_RATIO, daemon.loadRatio());
	}

}
