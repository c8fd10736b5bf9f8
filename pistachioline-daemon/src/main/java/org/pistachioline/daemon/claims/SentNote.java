package org.pistachioline.daemon.claims;

/**
 * A release or an outcome that another daemon was sent and has not receipted.
 */
final class SentNote {

	final long id;

	final ClaimForwarder.Message.Note note;

	long sentAtNanos;

	SentNote(long id, ClaimForwarder.Message.Note note) {
		this.id = id;
		this.note = note;
	}

}
