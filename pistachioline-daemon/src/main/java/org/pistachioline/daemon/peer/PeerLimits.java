package org.pistachioline.daemon.peer;

/**
 * What one connection on the peer port may cost, and how many there may be.
 * <p>
 * Anybody who reaches the port can connect. Without these limits a stranger's bytes grow
 * the daemon's memory: by a length that announces a huge frame, by frames that never end,
 * by connections that say nothing, or by frames faster than the duty takes them. One
 * would notice a growing process and heartbeats that come late.
 */
final class PeerLimits {

	/** The longest frame: a part of a checkpoint with its head. */
	static final int MAX_FRAME_BYTES = 320 * 1024;

	/**
	 * Frames that one connection may bring in a second: a peer sends some ten, and a
	 * checkpoint comes part by part.
	 */
	static final int MAX_FRAMES_PER_SECOND = 200;

	/**
	 * How long a connection may stay without a whole frame. Gossip takes turns among
	 * peers, so that links not in use are closed on either side and their number stays
	 * bounded in a large fleet.
	 */
	static final int IDLE_TIMEOUT_SECONDS = 15;

	/** How long a TLS handshake may take. */
	static final int HANDSHAKE_TIMEOUT_MILLIS = 3_000;

	private PeerLimits() {
	}

}
