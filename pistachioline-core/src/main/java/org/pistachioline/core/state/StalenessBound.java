package org.pistachioline.core.state;

import java.util.List;

import org.pistachioline.core.peer.PeerStatus;

/**
 * Decides whether this daemon's configuration may still be applied.
 * <p>
 * A daemon that is cut off from the log and from every daemon that reads it cannot hear
 * that a workspace was revoked or a limit lowered. It serves on for a bound, because most
 * cuts are short and a refusal is certain downtime for callers who hold its address, and
 * refuses past it, because a limit must not stay in force for ever where operators can no
 * longer reach it. A peer's word counts only where the peer stands at the same offset:
 * one that has read further proves this configuration old, and one that is behind proves
 * nothing about what came after.
 */
public final class StalenessBound {

	private final long maxAgeMillis;

	/**
	 * Creates the decision.
	 * @param boundMillis the greatest age at which the configuration is applied
	 */
	public StalenessBound(long boundMillis) {
		this.maxAgeMillis = boundMillis;
	}

	/**
	 * Returns how long ago the configuration was last known to be the newest.
	 * @param ownLogAgeMillis how long ago this daemon last read the log to its end
	 * @param nextOffset the next offset that it reads of the configuration
	 * @param peers what the live peers said
	 * @return the age
	 */
	public long ageMillis(long ownLogAgeMillis, long nextOffset, List<PeerStatus> peers) {
		long ageMillis = ownLogAgeMillis;
		for (final PeerStatus peer : peers) {
			if (peer.configOffset() == nextOffset) {
				ageMillis = Math.min(ageMillis, peer.logAgeMillis());
			}
		}
		return ageMillis;
	}

	/**
	 * Decides whether the configuration is too old to be applied.
	 * @param ageMillis its age
	 * @return whether it is
	 */
	public boolean isExceededBy(long ageMillis) {
		return ageMillis > this.maxAgeMillis;
	}

}
