package org.pistachioline.daemon.port;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller's headers state about its request.
 *
 * @param requestId the id that the caller assigned to this attempt
 * @param timeoutMillis how long the caller waits for the response; empty if not stated
 * @param apiKey the caller's API key; empty if it sent none
 * @param model the requested model; empty if the request names none
 * @param promptTokens the length of the prompt, in tokens
 * @param maxOutputTokens the maximum number of tokens that may be generated
 * @param lastEventId the last event that the caller received; empty at the beginning of a
 * stream
 */
public record RequestMetadata(String requestId, OptionalLong timeoutMillis, Optional<String> apiKey,
		Optional<String> model, int promptTokens, int maxOutputTokens, Optional<String> lastEventId) {

	@Override
	public String toString() {
		// The API key must not be logged.
		return "RequestMetadata[" + this.requestId + "]";
	}

}
