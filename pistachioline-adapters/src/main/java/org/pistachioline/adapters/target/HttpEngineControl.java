package org.pistachioline.adapters.target;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;

import org.pistachioline.adapters.http.HttpAnswer;
import org.pistachioline.adapters.http.HttpCaller;
import org.pistachioline.adapters.http.Json;
import org.pistachioline.core.fleet.EngineOrder;
import org.pistachioline.core.fleet.EnginePhase;
import org.pistachioline.core.fleet.EngineState;
import org.pistachioline.core.placement.CacheEvent;
import org.pistachioline.core.placement.CacheEventPage;

/**
 * Orders to model engines over HTTP; docs/TARGETS.md has their form.
 */
public final class HttpEngineControl implements EngineControl, EngineCache {

	private static final long CALL_TIMEOUT_MILLIS = 1_000;

	/** Some thousand events of the cache. */
	private static final long MAX_EVENTS_BYTES = 1024 * 1024;

	private static final int CONFLICT = 409;

	private final HttpCaller http;

	/**
	 * Creates the adapter.
	 * @param http the HTTP client
	 */
	public HttpEngineControl(HttpCaller http) {
		this.http = http;
	}

	@Override
	public CompletableFuture<EngineState> held(String address) {
		return this.http
			.call(HttpRequest.GET("http://" + address + "/engine/held"), CALL_TIMEOUT_MILLIS,
					HttpCaller.SHORT_ANSWER_BYTES)
			.thenApply(HttpEngineControl::heldOf);
	}

	private static EngineState heldOf(HttpAnswer answer) {
		if (!answer.isSuccess()) {
			throw new IllegalStateException("The engine answered " + answer.status());
		}
		final JsonNode node = Json.tree(answer.bodyBytes());
		return new EngineState(node.path("instance_id").asText(), node.path("group_id").asText(),
				node.path("fencing_number").asLong(), node.path("rank").asInt(), node.path("model").asText(),
				EnginePhase.fromWireName(node.path("phase").asText()), node.path("running").asInt(),
				node.path("waiting").asInt());
	}

	@Override
	public CompletableFuture<CacheEventPage> changes(String address, long fromSequence) {
		return this.http
			.call(HttpRequest.GET("http://" + address + "/engine/events?from=" + fromSequence), CALL_TIMEOUT_MILLIS,
					MAX_EVENTS_BYTES)
			.thenApply(HttpEngineControl::changesOf);
	}

	private static CacheEventPage changesOf(HttpAnswer answer) {
		if (!answer.isSuccess()) {
			throw new IllegalStateException("The engine answered " + answer.status());
		}
		final JsonNode page = Json.tree(answer.bodyBytes());
		final List<CacheEvent> events = new ArrayList<>();
		for (final JsonNode event : page.path("events")) {
			final CacheEvent.Kind kind = CacheEvent.Kind.valueOf(event.path("kind").asText().toUpperCase(Locale.ROOT));
			events.add(new CacheEvent(event.path("sequence").asLong(), kind, event.path("hash").asLong()));
		}
		return new CacheEventPage(page.path("next").asLong(), events);
	}

	@Override
	public CompletableFuture<Boolean> order(String address, EngineOrder order) {
		final Map<String, Object> body = new LinkedHashMap<>();
		body.put("kind", order.load() ? "load" : "unload");
		body.put("group_id", order.groupId());
		body.put("fencing_number", order.fencingToken());
		body.put("rank", order.rank());
		body.put("members", order.memberCount());
		body.put("model", order.model());
		body.put("lifetime_millis", order.lifetimeMillis());
		final HttpRequest request = HttpRequest.POST("http://" + address + "/engine/orders")
			.withEntity(ContentTypes.APPLICATION_JSON, Json.bytes(body));
		return this.http.call(request, CALL_TIMEOUT_MILLIS, HttpCaller.SHORT_ANSWER_BYTES).thenApply((answer) -> {
			if (!answer.isSuccess() && answer.status() != CONFLICT) {
				throw new IllegalStateException("The engine answered " + answer.status());
			}
			return answer.isSuccess();
		});
	}

}
