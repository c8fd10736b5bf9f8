package org.pistachioline.standins;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One completion that an engine stand-in runs; the engine's lock guards it.
 */
final class EngineRequest {

	final String attemptId;

	final String model;

	final String prompt;

	final int maxTokens;

	final int priority;

	int position;

	long readyAtNanos;

	StreamSink sink;

	EngineRequest(String attemptId, int resumeFrom, int priority, JsonNode body) {
		this.attemptId = attemptId;
		this.model = body.path("model").asText();
		this.prompt = promptOf(body);
		this.maxTokens = body.path("max_tokens").asInt(32);
		this.priority = priority;
		this.position = resumeFrom;
	}

	int promptTokens() {
		return Math.max(1, this.prompt.length() / 4);
	}

	private static String promptOf(JsonNode body) {
		final StringBuilder prompt = new StringBuilder();
		for (final JsonNode message : body.path("messages")) {
			prompt.append(message.path("content").asText()).append('\n');
		}
		return prompt.toString();
	}

}
