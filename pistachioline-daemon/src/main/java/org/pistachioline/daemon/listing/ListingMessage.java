package org.pistachioline.daemon.listing;

import org.pistachioline.core.listing.ListingRead;
import org.pistachioline.core.listing.ListingRequest;
import org.pistachioline.core.listing.ListingResponse;

/**
 * A message in the ring of the {@link ListingDuty}.
 */
sealed interface ListingMessage {

	/**
	 * A request arrived from another daemon.
	 *
	 * @param request the request
	 */
	record RequestReceived(ListingRequest request) implements ListingMessage {

	}

	/**
	 * A response arrived from another daemon.
	 *
	 * @param response the response
	 */
	record ResponseReceived(ListingResponse response) implements ListingMessage {

	}

	/**
	 * A read from the platform has completed or failed.
	 *
	 * @param read the result
	 */
	record ReadCompleted(ListingRead read) implements ListingMessage {

	}

}
