package org.pistachioline.daemon.listing;

import org.pistachioline.core.listing.ListingRead;
import org.pistachioline.core.listing.ListingRequest;
import org.pistachioline.core.listing.ListingResponse;

/**
 * What the listing duty is told.
 */
sealed interface ListingMessage {

	/**
	 * Another daemon asks.
	 *
	 * @param request the question
	 */
	record RequestReceived(ListingRequest request) implements ListingMessage {

	}

	/**
	 * Another daemon answers.
	 *
	 * @param response the answer
	 */
	record ResponseReceived(ListingResponse response) implements ListingMessage {

	}

	/**
	 * The platform answered, or did not.
	 *
	 * @param read what came of the read
	 */
	record ReadCompleted(ListingRead read) implements ListingMessage {

	}

}
