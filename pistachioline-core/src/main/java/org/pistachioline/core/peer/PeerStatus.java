package org.pistachioline.core.peer;

/**
 * What one daemon says of itself.
 *
 * @param daemonId its name
 * @param peerAddress where other daemons connect
 * @param callerAddress where callers connect
 * @param adminAddress where operators connect
 * @param availabilityZone its availability zone
 * @param incarnation rises with each start
 * @param sequence rises with each heartbeat
 * @param configVersion the configuration in force there
 * @param configOffset the next offset that it will read of the configuration stream
 * @param fleetOffset the next offset that it will read of the fleet stream
 * @param ready whether it takes requests
 * @param leaving whether it is about to stop
 * @param loadRatio how full it is; 1 is full
 * @param logAgeMillis how long ago it last read the log with success
 */
public record PeerStatus(String daemonId, String peerAddress, String callerAddress, String adminAddress,
		String availabilityZone, long incarnation, long sequence, long configVersion, long configOffset,
		long fleetOffset, boolean ready, boolean leaving, double loadRatio, long logAgeMillis) {

	/**
	 * Returns whether this is newer than what was known.
	 * @param known what was known
	 * @return whether it is
	 */
	public boolean isNewerThan(PeerStatus known) {
		if (this.incarnation != known.incarnation) {
			return this.incarnation > known.incarnation;
		}
		return this.sequence > known.sequence;
	}

	/**
	 * Returns what may have changed since the daemon's start.
	 * @return the news
	 */
	public PeerUpdate toUpdate() {
		return new PeerUpdate(this.daemonId, this.incarnation, this.sequence, this.configVersion, this.ready,
				this.leaving);
	}

	PeerStatus withUpdate(PeerUpdate news) {
		return new PeerStatus(this.daemonId, this.peerAddress, this.callerAddress, this.adminAddress,
				this.availabilityZone, this.incarnation, news.sequence(), news.configVersion(), this.configOffset,
				this.fleetOffset, news.ready(), news.leaving(), this.loadRatio, this.logAgeMillis);
	}

	boolean hasChangedSince(PeerStatus known) {
		return this.configVersion != known.configVersion || this.ready != known.ready || this.leaving != known.leaving;
	}

}
