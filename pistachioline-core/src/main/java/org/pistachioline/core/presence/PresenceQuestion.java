package org.pistachioline.core.presence;

import java.util.List;

/**
 * Asks another daemon what it knows of groups.
 *
 * @param daemonId the daemon to ask
 * @param token pairs the answer with the question
 * @param epochs the groups' epochs
 */
public record PresenceQuestion(String daemonId, long token, List<Long> epochs) {

	public PresenceQuestion {
		epochs = List.copyOf(epochs);
	}

}
