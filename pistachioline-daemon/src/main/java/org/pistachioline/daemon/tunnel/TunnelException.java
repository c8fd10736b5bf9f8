package org.pistachioline.daemon.tunnel;

import java.io.IOException;

import org.pistachioline.protocol.peer.TunnelResult;

/**
 * Thrown when another daemon opened no connection to a target.
 */
final class TunnelException extends IOException {

	private static final long serialVersionUID = 1L;

	private final TunnelResult result;

	/**
	 * Creates an exception.
	 * @param result the other daemon's answer; {@code UNKNOWN_RESULT} if it gave none
	 * @param cause why it gave none; null if it answered
	 */
	TunnelException(TunnelResult result, Throwable cause) {
		super("No tunnel: " + result, cause);
		this.result = result;
	}

	TunnelResult result() {
		return this.result;
	}

	/**
	 * Returns whether the daemon that was asked is unlikely to open tunnels to other
	 * targets either.
	 * @return whether it is
	 */
	boolean isPeerAtFault() {
		return this.result == TunnelResult.UNKNOWN_RESULT || this.result == TunnelResult.OVERLOADED
				|| this.result == TunnelResult.UNREACHABLE;
	}

}
