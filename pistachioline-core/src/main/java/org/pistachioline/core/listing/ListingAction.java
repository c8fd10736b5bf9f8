package org.pistachioline.core.listing;

import java.util.List;

import org.pistachioline.core.replica.ServingInstance;

/**
 * A side effect that {@link ListingSynchronizer} asks its caller to perform.
 */
public sealed interface ListingAction permits ListingAction.SendRequest, ListingAction.SendResponse,
		ListingAction.ReadSnapshot, ListingAction.ReadDelta, ListingAction.Publish {

	/**
	 * Send a request to another daemon.
	 *
	 * @param daemonId the receiving daemon
	 * @param request the request
	 */
	record SendRequest(String daemonId, ListingRequest request) implements ListingAction {

	}

	/**
	 * Send a response to another daemon.
	 *
	 * @param daemonId the receiving daemon
	 * @param response the response
	 */
	record SendResponse(String daemonId, ListingResponse response) implements ListingAction {

	}

	/**
	 * Read the latest record of every instance from the platform.
	 */
	record ReadSnapshot() implements ListingAction {

	}

	/**
	 * Read all records from an offset on from the platform.
	 *
	 * @param fromOffset the first offset to read
	 */
	record ReadDelta(long fromOffset) implements ListingAction {

	}

	/**
	 * Replace the instance list in use.
	 *
	 * @param instances all instances, sorted by ID
	 */
	record Publish(List<ServingInstance> instances) implements ListingAction {

	}

}
