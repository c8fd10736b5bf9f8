package org.pistachioline.core.peer;

/**
 * The status that a daemon publishes about itself by gossip.
 *
 * @param daemonId the daemon's name
 * @param peerAddress the address that other daemons connect to
 * @param callerAddress the address that callers connect to
 * @param adminAddress the address that operators connect to
 * @param availabilityZone the daemon's availability zone
 * @param incarnation increases with each start of the daemon
 * @param sequence increases with each of the daemon's heartbeats
 * @param configVersion the version of the configuration in force on the daemon
 * @param configOffset the offset of the next entry that it will read from the
 * configuration stream
 * @param fleetOffset the offset of the next entry that it will read from the fleet stream
 * @param ready whether the daemon accepts requests
 * @param leaving whether the daemon is about to stop
 * @param loadRatio the daemon's load in relation to its capacity; 1 is full
 * @param logAgeMillis the time since its last successful read from the log
 * @param tunnelAddress the address at which it connects to targets on behalf of other
 * daemons; empty if it does not
 * @param partitioned whether it cannot connect to most targets itself
 * @param cpuCores the processor cores that it may use; 0 if it does not say
 * @param loopLagMillis how late the loop that serves its callers ran lately
 */
public record PeerStatus(String daemonId, String peerAddress, String callerAddress, String adminAddress,
		String availabilityZone, long incarnation, long sequence, long configVersion, long configOffset,
		long fleetOffset, boolean ready, boolean leaving, double loadRatio, long logAgeMillis, String tunnelAddress,
		boolean partitioned, double cpuCores, long loopLagMillis) {

	/**
	 * Creates the status of a daemon that opens no connections on behalf of others.
	 * @param daemonId the daemon's name
	 * @param peerAddress the address that other daemons connect to
	 * @param callerAddress the address that callers connect to
	 * @param adminAddress the address that operators connect to
	 * @param availabilityZone the daemon's availability zone
	 * @param incarnation increases with each start of the daemon
	 * @param sequence increases with each of the daemon's heartbeats
	 * @param configVersion the version of the configuration in force on the daemon
	 * @param configOffset the next offset of the configuration stream
	 * @param fleetOffset the next offset of the fleet stream
	 * @param ready whether the daemon accepts requests
	 * @param leaving whether the daemon is about to stop
	 * @param loadRatio the daemon's load in relation to its capacity; 1 is full
	 * @param logAgeMillis the time since its last successful read from the log
	 */
	public PeerStatus(String daemonId, String peerAddress, String callerAddress, String adminAddress,
			String availabilityZone, long incarnation, long sequence, long configVersion, long configOffset,
			long fleetOffset, boolean ready, boolean leaving, double loadRatio, long logAgeMillis) {
		this(daemonId, peerAddress, callerAddress, adminAddress, availabilityZone, incarnation, sequence, configVersion,
				configOffset, fleetOffset, ready, leaving, loadRatio, logAgeMillis, "", false, 0, 0);
	}

	/**
	 * Returns whether this status is newer than another one of the same daemon, that is,
	 * from a later incarnation or from a later heartbeat of the same one.
	 * @param known the other status
	 * @return whether it is
	 */
	public boolean isNewerThan(PeerStatus known) {
		if (this.incarnation != known.incarnation) {
			return this.incarnation > known.incarnation;
		}
		return this.sequence > known.sequence;
	}

	/**
	 * Extracts the part that can change between two restarts.
	 * @return the update
	 */
	public PeerUpdate toUpdate() {
		return new PeerUpdate(this.daemonId, this.incarnation, this.sequence, this.configVersion, this.ready,
				this.leaving, this.partitioned, this.loopLagMillis);
	}

	PeerStatus withUpdate(PeerUpdate update) {
		return new PeerStatus(this.daemonId, this.peerAddress, this.callerAddress, this.adminAddress,
				this.availabilityZone, this.incarnation, update.sequence(), update.configVersion(), this.configOffset,
				this.fleetOffset, update.ready(), update.leaving(), this.loadRatio, this.logAgeMillis,
				this.tunnelAddress, update.partitioned(), this.cpuCores, update.loopLagMillis());
	}

	boolean hasChangedSince(PeerStatus known) {
		return this.configVersion != known.configVersion || this.ready != known.ready || this.leaving != known.leaving
				|| this.partitioned != known.partitioned;
	}

}
