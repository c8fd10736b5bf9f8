package org.pistachioline.daemon.http;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

import org.pistachioline.adapters.http.Json;

/**
 * The fields of a completion request that the daemon reads; the body is forwarded to the
 * engine unchanged.
 *
 * @param model the name of the model
 * @param prompt the text of all messages, one per line
 * @param maxTokens the maximum number of tokens to generate
 * @param stream whether the response is streamed
 * @param priority the priority; requests with a higher number are dispatched first
 */
record CompletionRequest(String model, String prompt, int maxTokens, boolean stream, int priority) {

	private static final int DEFAULT_MAX_TOKENS = 256;

	private static final int MAX_OUTPUT_TOKENS = 1_000_000;

	private static final int MAX_PRIORITY = 9;

	static Optional<CompletionRequest> parse(byte[] body) {
		final JsonNode node;
		try {
			node = Json.tree(body);
		}
		catch (RuntimeException ex) {
			return Optional.empty();
		}
		final JsonNode messages = node.path("messages");
		final JsonNode maxTokens = node.has("max_completion_tokens") ? node.path("max_completion_tokens")
				: node.path("max_tokens");
		final boolean wellFormed = node.path("model").isTextual() && messages.isArray() && !messages.isEmpty()
				&& (maxTokens.isMissingNode() || maxTokens.isInt()) && isFlag(node.path("stream"))
				&& (node.path("priority").isMissingNode() || node.path("priority").isInt());
		if (!wellFormed) {
			return Optional.empty();
		}
		final int tokens = maxTokens.asInt(DEFAULT_MAX_TOKENS);
		final int priority = node.path("priority").asInt(0);
		if (tokens < 1 || tokens > MAX_OUTPUT_TOKENS || Math.abs(priority) > MAX_PRIORITY) {
			return Optional.empty();
		}
		return Optional.of(new CompletionRequest(node.path("model").asText(), promptOf(messages), tokens,
				node.path("stream").asBoolean(false), priority));
	}

	private static boolean isFlag(JsonNode node) {
		return node.isMissingNode() || node.isBoolean();
	}

	private static String promptOf(JsonNode messages) {
		final StringBuilder prompt = new StringBuilder();
		for (final JsonNode message : messages) {
			appendContent(prompt, message.path("content"));
			prompt.append('\n');
		}
		return prompt.toString();
	}

	private static void appendContent(StringBuilder prompt, JsonNode content) {
		if (content.isTextual()) {
			prompt.append(content.asText());
			return;
		}
		for (final JsonNode part : content) {
			prompt.append(part.path("text").asText());
		}
	}

}
