package org.pistachioline.daemon.port;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller said of its request beside the path and the body.
 *
 * @param requestId the id that the caller gave this attempt
 * @param timeoutMillis how long the caller waits; empty where it did not say
 * @param apiKey the caller's key; empty where it sent none
 * @param model the model that is asked for; empty where the request names none
 * @param promptTokens the length of the prompt, in tokens
 * @param maxOutputTokens the most tokens that may be generated
 * @param lastEventId the last event that the caller has; empty where the stream begins
 */
public record RequestMetadata(String requestId, OptionalLong timeoutMillis, Optional<String> apiKey,
		Optional<String> model, int promptTokens, int maxOutputTokens, Optional<String> lastEventId) {

	@Override
	public String toString() {
		// The key must not get into a log.
		return "CallHead[" + this.requestId + "]";
	}

}
