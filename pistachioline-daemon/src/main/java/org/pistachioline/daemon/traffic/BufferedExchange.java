package org.pistachioline.daemon.traffic;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

import org.pistachioline.adapters.http.HttpCaller;
import org.pistachioline.adapters.http.Json;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.traffic.RequestInfo;

/**
 * A completion that is answered as a whole; it is streamed from the engine all the same,
 * so that a broken attempt is resumed and not run again from the start.
 */
final class BufferedExchange extends ModelExchange {

	private static final String DATA_FIELD = "data: ";

	private final String model;

	private final StringBuilder content = new StringBuilder();

	private String finishReason = "stop";

	private int promptTokens;

	private CompletionStage<Void> eventsConsumed = CompletableFuture.completedFuture(null);

	private int completionTokens;

	BufferedExchange(RequestInfo info, String requestIdText, byte[] engineBody, HttpCaller http) {
		super(info, requestIdText, engineBody, http);
		this.model = info.name();
	}

	@Override
	synchronized void onEvents(Source<ByteString, NotUsed> events) {
		// One attempt after the other: the end of an attempt is reported when its last
		// event
		// is passed on, which may be before it was taken here.
		this.eventsConsumed = this.eventsConsumed
			.thenCompose((before) -> events.runForeach(this::appendEvents, http().system()).thenApply((done) -> null));
	}

	private synchronized void appendEvents(ByteString bytes) {
		for (final String event : bytes.utf8String().split("\n\n")) {
			if (event.startsWith(DATA_FIELD + "{")) {
				appendChunk(Json.tree(event.substring(DATA_FIELD.length()).getBytes(StandardCharsets.UTF_8)));
			}
		}
	}

	private void appendChunk(JsonNode chunk) {
		final JsonNode choice = chunk.path("choices").path(0);
		this.content.append(choice.path("delta").path("content").asText(""));
		if (choice.path("finish_reason").isTextual()) {
			this.finishReason = choice.path("finish_reason").asText();
		}
		if (chunk.has("usage")) {
			this.promptTokens = chunk.path("usage").path("prompt_tokens").asInt();
			this.completionTokens = chunk.path("usage").path("completion_tokens").asInt();
		}
	}

	@Override
	public synchronized void finish() {
		this.eventsConsumed.thenRun(this::respond);
	}

	private synchronized void respond() {
		final Map<String, Object> message = Map.of("role", "assistant", "content", this.content.toString());
		final Map<String, Object> body = Map.of("id", "c-" + requestIdText(), "object", "chat.completion", "model",
				this.model, "choices",
				List.of(Map.of("index", 0, "message", message, "finish_reason", this.finishReason)), "usage",
				Map.of("prompt_tokens", this.promptTokens, "completion_tokens", this.completionTokens, "total_tokens",
						this.promptTokens + this.completionTokens));
		response().complete(HttpResponse.create()
			.addHeader(RawHeader.create(ErrorBody.REQUEST_ID_HEADER, requestIdText()))
			.withEntity(ContentTypes.APPLICATION_JSON, Json.bytes(body)));
	}

	@Override
	public void fail(ErrorKind kind, RunState runState, long retryAfterMillis) {
		response().complete(ErrorResponses.of(requestIdText(), kind, runState, retryAfterMillis));
	}

}
