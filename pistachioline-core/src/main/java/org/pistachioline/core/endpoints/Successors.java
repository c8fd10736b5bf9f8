package org.pistachioline.core.endpoints;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.pistachioline.core.peer.PeerStatus;

/**
 * Decides whether the callers of a leaving daemon are served by another one.
 * <p>
 * When a small fleet restarts in turn, all of its daemons may be leaving at the same
 * time. Those that began later serve longer, so an earlier one can go and come back; the
 * last one stays until another is ready.
 */
public final class Successors {

	private final Set<Life> leftBefore;

	/**
	 * Creates the decision of a daemon that begins to leave.
	 * @param peers the other live daemons at that time
	 */
	public Successors(List<PeerStatus> peers) {
		this.leftBefore = peers.stream()
			.filter(PeerStatus::leaving)
			.map(Life::of)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Returns whether another daemon serves callers for longer than this one.
	 * @param peers the other live daemons now
	 * @return whether one is ready or began to leave after this one
	 */
	public boolean serve(List<PeerStatus> peers) {
		return peers.stream()
			.anyMatch((peer) -> peer.leaving() ? !this.leftBefore.contains(Life.of(peer)) : peer.ready());
	}

	/**
	 * Returns whether no other daemon was leaving when this one began to.
	 * @return whether this one will be back first
	 */
	public boolean isFirst() {
		return this.leftBefore.isEmpty();
	}

	/**
	 * Returns whether this daemon will be the next to serve callers for long, because it
	 * was the first to leave of a fleet that has none ready any more.
	 * @param peers the other live daemons now
	 * @return whether the others began to leave after it
	 */
	public boolean waitForThisOne(List<PeerStatus> peers) {
		return isFirst() && !peers.isEmpty() && peers.stream().allMatch(PeerStatus::leaving);
	}

	/**
	 * One start of a daemon.
	 *
	 * @param daemonId the daemon
	 * @param incarnation its start
	 */
	private record Life(String daemonId, long incarnation) {

		static Life of(PeerStatus peer) {
			return new Life(peer.daemonId(), peer.incarnation());
		}

	}

}
