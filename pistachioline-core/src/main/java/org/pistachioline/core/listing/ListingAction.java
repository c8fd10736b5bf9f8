package org.pistachioline.core.listing;

import java.util.List;

import org.pistachioline.core.replica.ServingInstance;

/**
 * What must be done next to follow the list.
 */
public sealed interface ListingAction permits ListingAction.SendRequest, ListingAction.SendResponse,
		ListingAction.ReadSnapshot, ListingAction.ReadDelta, ListingAction.Publish {

	/**
	 * Ask another daemon.
	 *
	 * @param daemonId the daemon
	 * @param request the question
	 */
	record SendRequest(String daemonId, ListingRequest request) implements ListingAction {

	}

	/**
	 * Answer another daemon.
	 *
	 * @param daemonId the daemon
	 * @param response the answer
	 */
	record SendResponse(String daemonId, ListingResponse response) implements ListingAction {

	}

	/**
	 * Read the newest record of every instance from the platform.
	 */
	record ReadSnapshot() implements ListingAction {

	}

	/**
	 * Read the records from an offset on from the platform.
	 *
	 * @param fromOffset the first offset
	 */
	record ReadDelta(long fromOffset) implements ListingAction {

	}

	/**
	 * Use this list from now on.
	 *
	 * @param instances all listed instances, by id
	 */
	record Publish(List<ServingInstance> instances) implements ListingAction {

	}

}
