package org.pistachioline.daemon.claims;

/**
 * A release or an outcome that was forwarded to another daemon and has not been
 * acknowledged yet.
 */
final class PendingUpdate {

	final long id;

	final ClaimForwarder.Message.Update update;

	long sentAtNanos;

	PendingUpdate(long id, ClaimForwarder.Message.Update update) {
		this.id = id;
		this.update = update;
	}

}
