package org.pistachioline.core.listing;

import java.util.Optional;

/**
 * Answers a {@link ListingRequest}.
 *
 * @param responderId the daemon that answers
 * @param correlationId the request's correlation ID
 * @param heldNanos how long the responder held the request while waiting for a change
 * @param ageNanos the time from the platform read that the responder's list is based on
 * until the response
 * @param delta what the requester lacks, or one page of it; empty if the responder has no
 * list or its list is too long to send
 * @param continuationOffset the offset at which the next page of the delta starts; 0 on
 * the last page
 * @param incarnationId changes when the responder restarts, as it may then start from
 * another list
 */
public record ListingResponse(String responderId, long correlationId, long heldNanos, long ageNanos,
		Optional<ListingDelta> delta, long continuationOffset, long incarnationId) {

	/**
	 * Creates a response with a single page, from a responder whose incarnation does not
	 * matter.
	 * @param responderId the daemon that answers
	 * @param correlationId the request's correlation ID
	 * @param heldNanos how long the responder held the request while waiting for a change
	 * @param ageNanos the time from the platform read that the responder's list is based
	 * on until the response
	 * @param delta what the requester lacks; empty if the responder cannot send it
	 */
	public ListingResponse(String responderId, long correlationId, long heldNanos, long ageNanos,
			Optional<ListingDelta> delta) {
		this(responderId, correlationId, heldNanos, ageNanos, delta, 0, 0);
	}

}
