package org.pistachioline.core.listing;

import java.util.Optional;

/**
 * What a daemon knows of the list.
 *
 * @param answererId the daemon that answers
 * @param token the question's token
 * @param heldNanos how long the answerer kept the question, in case something changed
 * @param ageNanos how long before the answer the platform was asked for what it tells
 * @param change what the asker lacks; empty where the answerer cannot tell it
 * @param restOffset where the records begin that are left out of the change; 0 where none
 * are
 * @param lifeId differs for each life of the answerer, which may begin with another list
 */
public record ListingAnswer(String answererId, long token, long heldNanos, long ageNanos,
		Optional<ListingChange> change, long restOffset, long lifeId) {

	/**
	 * Creates an answer that leaves nothing out and continues none.
	 * @param answererId the daemon that answers
	 * @param token the question's token
	 * @param heldNanos how long the answerer kept the question, in case something changed
	 * @param ageNanos how long before the answer the platform was asked for what it tells
	 * @param change what the asker lacks; empty where the answerer cannot tell it
	 */
	public ListingAnswer(String answererId, long token, long heldNanos, long ageNanos, Optional<ListingChange> change) {
		this(answererId, token, heldNanos, ageNanos, change, 0, 0);
	}

}
