package org.pistachioline.core.listing;

/**
 * Asks another daemon what it knows of the list.
 *
 * @param askerId the daemon that asks
 * @param token tells this question from the asker's other ones
 * @param fromOffset the first offset that the asker lacks; 0 where it knows nothing
 * @param restOffset where the rest begins of what was told in part already; 0 where
 * nothing was
 */
public record ListingQuestion(String askerId, long token, long fromOffset, long restOffset) {

	/**
	 * Creates a question to a daemon that has told no part of its answer yet.
	 * @param askerId the daemon that asks
	 * @param token tells this question from the asker's other ones
	 * @param fromOffset the first offset that the asker lacks; 0 where it knows nothing
	 */
	public ListingQuestion(String askerId, long token, long fromOffset) {
		this(askerId, token, fromOffset, 0);
	}

}
