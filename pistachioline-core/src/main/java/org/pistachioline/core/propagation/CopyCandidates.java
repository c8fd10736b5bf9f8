package org.pistachioline.core.propagation;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.pistachioline.core.peer.PeerStatus;

/**
 * Chooses the daemon from which a newer configuration is requested: one of those that
 * have the newest version, at random, so that many daemons that are behind do not all ask
 * the same one. The one that was asked last is asked again only if there is no other.
 */
public final class CopyCandidates {

	private CopyCandidates() {
	}

	/**
	 * Chooses a daemon.
	 * @param peers the live daemons other than this one
	 * @param inForce the version in force on this daemon
	 * @param askedLast the daemon that was asked last; empty if none was
	 * @param random the source of the choice
	 * @return the daemon's id; empty if no other daemon has a newer version
	 */
	public static Optional<String> choose(List<PeerStatus> peers, long inForce, String askedLast,
			RandomGenerator random) {
		final long newest = peers.stream().mapToLong(PeerStatus::configVersion).max().orElse(0);
		if (newest <= inForce) {
			return Optional.empty();
		}
		final List<String> holders = peers.stream()
			.filter((peer) -> peer.configVersion() == newest)
			.map(PeerStatus::daemonId)
			.toList();
		final List<String> others = holders.stream().filter((holder) -> !holder.equals(askedLast)).toList();
		final List<String> candidates = others.isEmpty() ? holders : others;
		return Optional.of(candidates.get(random.nextInt(candidates.size())));
	}

}
