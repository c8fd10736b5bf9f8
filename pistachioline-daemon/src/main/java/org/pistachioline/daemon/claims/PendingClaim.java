package org.pistachioline.daemon.claims;

/**
 * A claim that was forwarded to another daemon and has not been answered yet.
 */
final class PendingClaim {

	final long id;

	final ClaimForwarder.Message.ClaimRequested request;

	final long receivedAtNanos;

	long sentAtNanos;

	PendingClaim(long id, ClaimForwarder.Message.ClaimRequested request, long receivedAtNanos) {
		this.id = id;
		this.request = request;
		this.receivedAtNanos = receivedAtNanos;
	}

}
