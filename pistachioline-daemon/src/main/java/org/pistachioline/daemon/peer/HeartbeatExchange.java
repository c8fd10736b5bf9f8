package org.pistachioline.daemon.peer;

import java.util.Optional;

import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.protocol.peer.Heartbeat;
import org.pistachioline.protocol.peer.PeerFrame;

/**
 * One kind of state that daemons exchange in heartbeats. All methods are called on the
 * thread of the peer duty and must not block.
 */
public interface HeartbeatExchange {

	/**
	 * Adds this daemon's state to a heartbeat. The size of what is added must not grow
	 * with the number of daemons.
	 * @param heartbeat the heartbeat
	 * @param nowNanos the monotonic time
	 */
	void addTo(Heartbeat.Builder heartbeat, long nowNanos);

	/**
	 * Handles a peer's heartbeat, which lacks the state if the peer runs an older
	 * release.
	 * @param sender the peer
	 * @param heartbeat the heartbeat
	 * @param nowNanos the monotonic time
	 */
	void onHeartbeat(PeerStatus sender, Heartbeat heartbeat, long nowNanos);

	/**
	 * Handles a frame that is no heartbeat, if it is of this kind.
	 * @param frame the frame
	 * @param nowNanos the monotonic time
	 */
	default void onNotice(PeerFrame frame, long nowNanos) {
		// Most kinds of state are sent in heartbeats only.
	}

	/**
	 * Returns what a newly started daemon must learn before the next heartbeat.
	 * @param nowNanos the monotonic time
	 * @return the frame; empty if there is nothing to tell
	 */
	default Optional<PeerFrame> greeting(long nowNanos) {
		return Optional.empty();
	}

}
