package org.pistachioline.core.state;

import java.util.List;

import org.pistachioline.core.peer.PeerStatus;

/**
 * Bounds the time for which a daemon applies a configuration that it cannot refresh.
 * <p>
 * A daemon that is partitioned from the log and from all daemons that read it does not
 * learn that a workspace was revoked or a limit lowered. Until the bound it continues to
 * serve, because most partitions are short and rejecting requests is certain downtime for
 * the callers that use its address. Past the bound it rejects requests, because an
 * outdated limit must not stay in force indefinitely where operators cannot change it.
 * <p>
 * A peer's read of the log counts only if the peer is at the same offset. A peer at a
 * higher offset shows that this configuration may be outdated, and a peer at a lower
 * offset does not know whether newer records exist.
 */
public final class StalenessBound {

	private final long maxAgeMillis;

	/**
	 * Creates a bound.
	 * @param maxAgeMillis the greatest age at which the configuration is applied
	 */
	public StalenessBound(long maxAgeMillis) {
		this.maxAgeMillis = maxAgeMillis;
	}

	/**
	 * Returns the time since the configuration was last known to be the newest one.
	 * @param ownLogAgeMillis the time since this daemon last read the log to its end
	 * @param nextOffset the next offset of the configuration stream that this daemon
	 * reads
	 * @param peers the last status of each live peer
	 * @return the age in milliseconds
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
	 * Returns whether a configuration of this age must no longer be applied.
	 * @param ageMillis the age of the configuration
	 * @return whether the age is over the bound
	 */
	public boolean isExceededBy(long ageMillis) {
		return ageMillis > this.maxAgeMillis;
	}

}
