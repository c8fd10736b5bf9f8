package org.pistachioline.daemon.claims;

/**
 * A claim that another daemon was asked for and has not answered.
 */
final class AskedClaim {

	final long id;

	final ClaimForwarder.Message.Ask ask;

	final long askedAtNanos;

	long sentAtNanos;

	AskedClaim(long id, ClaimForwarder.Message.Ask ask, long askedAtNanos) {
		this.id = id;
		this.ask = ask;
		this.askedAtNanos = askedAtNanos;
	}

}
