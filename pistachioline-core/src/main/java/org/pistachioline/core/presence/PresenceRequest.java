package org.pistachioline.core.presence;

import java.util.List;

/**
 * A request to another daemon for its proofs of groups.
 *
 * @param daemonId the id of the daemon to ask
 * @param correlationId the id that matches the response with the request
 * @param epochs the epochs of the groups
 */
public record PresenceRequest(String daemonId, long correlationId, List<Long> epochs) {

	public PresenceRequest {
		epochs = List.copyOf(epochs);
	}

}
