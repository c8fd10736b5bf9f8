package org.pistachioline.core.peer;

/**
 * The part of a {@link PeerStatus} that can change between two restarts of the daemon. On
 * the wire it takes about a third of a complete status.
 *
 * @param daemonId the daemon's name
 * @param incarnation increases with each start of the daemon
 * @param sequence increases with each of the daemon's heartbeats
 * @param configVersion the version of the configuration in force on the daemon
 * @param ready whether the daemon accepts requests
 * @param leaving whether the daemon is about to stop
 * @param partitioned whether the daemon cannot connect to most targets itself
 * @param loopLagMillis how late the loop that serves the daemon's callers ran lately
 */
public record PeerUpdate(String daemonId, long incarnation, long sequence, long configVersion, boolean ready,
		boolean leaving, boolean partitioned, long loopLagMillis) {

	/**
	 * Creates an update of a daemon that does not say how late its loop runs.
	 * @param daemonId the daemon's name
	 * @param incarnation increases with each start of the daemon
	 * @param sequence increases with each of the daemon's heartbeats
	 * @param configVersion the version of the configuration in force on the daemon
	 * @param ready whether the daemon accepts requests
	 * @param leaving whether the daemon is about to stop
	 * @param partitioned whether the daemon cannot connect to most targets itself
	 */
	public PeerUpdate(String daemonId, long incarnation, long sequence, long configVersion, boolean ready,
			boolean leaving, boolean partitioned) {
		this(daemonId, incarnation, sequence, configVersion, ready, leaving, partitioned, 0);
	}

}
