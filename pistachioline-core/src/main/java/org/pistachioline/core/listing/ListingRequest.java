package org.pistachioline.core.listing;

/**
 * Asks another daemon what it knows of the list.
 *
 * @param requesterId the daemon that asks
 * @param correlationId tells this question from the asker's other ones
 * @param fromOffset the first offset that the asker lacks; 0 where it knows nothing
 * @param continuationOffset where the rest begins of what was told in part already; 0
 * where nothing was
 */
public record ListingRequest(String requesterId, long correlationId, long fromOffset, long continuationOffset) {

	/**
	 * Creates a question to a daemon that has told no part of its answer yet.
	 * @param requesterId the daemon that asks
	 * @param correlationId tells this question from the asker's other ones
	 * @param fromOffset the first offset that the asker lacks; 0 where it knows nothing
	 */
	public ListingRequest(String requesterId, long correlationId, long fromOffset) {
		this(requesterId, correlationId, fromOffset, 0);
	}

}
