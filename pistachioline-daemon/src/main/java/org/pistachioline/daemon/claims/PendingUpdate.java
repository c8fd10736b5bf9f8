package org.pistachioline.daemon.claims;

/**
 * A release or an outcome that another daemon was sent and has not receipted.
 */
final class PendingUpdate {

	final long id;

	final ClaimForwarder.Message.Update update;

	long sentAtNanos;

	PendingUpdate(long id, ClaimForwarder.Message.Update note) {
		this.id = id;
		this.update = note;
	}

}
