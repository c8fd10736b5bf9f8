package org.pistachioline.core.presence;

import java.util.List;

/**
 * Asks another daemon what it knows of groups.
 *
 * @param daemonId the daemon to ask
 * @param correlationId pairs the answer with the question
 * @param epochs the groups' epochs
 */
public record PresenceRequest(String daemonId, long correlationId, List<Long> epochs) {

	public PresenceRequest {
		epochs = List.copyOf(epochs);
	}

}
