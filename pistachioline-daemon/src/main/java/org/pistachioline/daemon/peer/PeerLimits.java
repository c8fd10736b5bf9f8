package org.pistachioline.daemon.peer;

/**
 * Resource limits for the connections on the peer port.
 * <p>
 * Any process that reaches the port can connect. Without these limits it could exhaust
 * the daemon's memory with a length prefix that announces a huge frame, with frames that
 * never end, with idle connections, or with frames that arrive faster than the duty
 * handles them. The symptoms would be a growing process and late heartbeats.
 */
final class PeerLimits {

	/** The maximum frame size: one part of a checkpoint with its header. */
	static final int MAX_FRAME_BYTES = 320 * 1024;

	/**
	 * The maximum number of frames that one connection may send per second. A peer sends
	 * about ten, apart from checkpoints, which take one frame per part.
	 */
	static final int MAX_FRAMES_PER_SECOND = 200;

	/**
	 * How long a connection may stay open without a complete frame. Gossip selects
	 * different peers over time, so closing unused connections on either side keeps their
	 * number bounded in a large fleet.
	 */
	static final int IDLE_TIMEOUT_SECONDS = 15;

	/** How long a TLS handshake may take. */
	static final int HANDSHAKE_TIMEOUT_MILLIS = 3_000;

	private PeerLimits() {
	}

}
