package org.pistachioline.daemon.port;

import java.util.List;
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
 * @param sharedPromptParts the ids of the parts of the prompt that other requests may
 * share, in their order; the last part, which is the request's own, is not among them
 */
public record RequestMetadata(String requestId, OptionalLong timeoutMillis, Optional<String> apiKey,
		Optional<String> model, int promptTokens, int maxOutputTokens, Optional<String> lastEventId,
		List<String> sharedPromptParts) {

	public RequestMetadata {
		sharedPromptParts = List.copyOf(sharedPromptParts);
	}

	/**
	 * Creates the metadata of a request that states no parts of its prompt.
	 * @param requestId the id that the caller assigned to this attempt
	 * @param timeoutMillis how long the caller waits for the response
	 * @param apiKey the caller's API key
	 * @param model the requested model
	 * @param promptTokens the length of the prompt, in tokens
	 * @param maxOutputTokens the maximum number of tokens that may be generated
	 * @param lastEventId the last event that the caller received
	 */
	public RequestMetadata(String requestId, OptionalLong timeoutMillis, Optional<String> apiKey,
			Optional<String> model, int promptTokens, int maxOutputTokens, Optional<String> lastEventId) {
		this(requestId, timeoutMillis, apiKey, model, promptTokens, maxOutputTokens, lastEventId, List.of());
	}

	@Override
	public String toString() {
		// The API key must not be logged.
		return "RequestMetadata[" + this.requestId + "]";
	}

}
