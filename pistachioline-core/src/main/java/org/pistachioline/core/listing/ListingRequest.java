package org.pistachioline.core.listing;

/**
 * Asks another daemon for the changes to the instance list since an offset. The receiver
 * holds the request until there is a change (long polling).
 *
 * @param requesterId the daemon that asks
 * @param correlationId identifies the request among the requester's
 * @param fromOffset the first offset that the requester lacks; 0 if it has no list yet
 * @param continuationOffset the offset at which the requested page of the delta starts; 0
 * for the first page
 */
public record ListingRequest(String requesterId, long correlationId, long fromOffset, long continuationOffset) {

	/**
	 * Creates a request for the first page of a delta.
	 * @param requesterId the daemon that asks
	 * @param correlationId identifies the request among the requester's
	 * @param fromOffset the first offset that the requester lacks; 0 if it has no list
	 * yet
	 */
	public ListingRequest(String requesterId, long correlationId, long fromOffset) {
		this(requesterId, correlationId, fromOffset, 0);
	}

}
