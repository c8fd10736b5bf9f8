package org.pistachioline.core.listing;

import java.util.Optional;

/**
 * What a daemon knows of the list.
 *
 * @param responderId the daemon that answers
 * @param correlationId the question's token
 * @param heldNanos how long the answerer kept the question, in case something changed
 * @param ageNanos how long before the answer the platform was asked for what it tells
 * @param delta what the asker lacks; empty where the answerer cannot tell it
 * @param continuationOffset where the records begin that are left out of the change; 0
 * where none are
 * @param incarnationId differs for each life of the answerer, which may begin with
 * another list
 */
public record ListingResponse(String responderId, long correlationId, long heldNanos, long ageNanos,
		Optional<ListingDelta> delta, long continuationOffset, long incarnationId) {

	/**
	 * Creates an answer that leaves nothing out and continues none.
	 * @param responderId the daemon that answers
	 * @param correlationId the question's token
	 * @param heldNanos how long the answerer kept the question, in case something changed
	 * @param ageNanos how long before the answer the platform was asked for what it tells
	 * @param delta what the asker lacks; empty where the answerer cannot tell it
	 */
	public ListingResponse(String responderId, long correlationId, long heldNanos, long ageNanos,
			Optional<ListingDelta> delta) {
		this(responderId, correlationId, heldNanos, ageNanos, delta, 0, 0);
	}

}
