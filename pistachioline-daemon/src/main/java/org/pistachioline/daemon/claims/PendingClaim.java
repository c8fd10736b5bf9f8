package org.pistachioline.daemon.claims;

/**
 * A claim that another daemon was asked for and has not answered.
 */
final class PendingClaim {

	final long id;

	final ClaimForwarder.Message.ClaimRequested request;

	final long receivedAtNanos;

	long sentAtNanos;

	PendingClaim(long id, ClaimForwarder.Message.ClaimRequested ask, long askedAtNanos) {
		this.id = id;
		this.request = ask;
		this.receivedAtNanos = askedAtNanos;
	}

}
