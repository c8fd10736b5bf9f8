package org.pistachioline.adapters.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.pekko.http.javadsl.model.HttpRequest;

import org.pistachioline.adapters.http.HttpAnswer;
import org.pistachioline.adapters.http.HttpCaller;
import org.pistachioline.adapters.http.Json;
import org.pistachioline.core.fleet.Instance;

/**
 * The platform's instance list over HTTP; docs/PLATFORM.md has its form.
 */
public final class HttpInstanceList implements InstanceList {

	private static final long CALL_TIMEOUT_MILLIS = 3_000;

	private final HttpCaller http;

	private final String url;

	/**
	 * Creates the adapter.
	 * @param http the HTTP client
	 * @param address the list's address, as host and port
	 */
	public HttpInstanceList(HttpCaller http, String address) {
		this.http = http;
		this.url = "http://" + address + "/instances";
	}

	@Override
	public CompletableFuture<List<Instance>> read() {
		return this.http.call(HttpRequest.GET(this.url), CALL_TIMEOUT_MILLIS).thenApply(HttpInstanceList::instancesOf);
	}

	private static List<Instance> instancesOf(HttpAnswer answer) {
		if (!answer.isSuccess()) {
			throw new IllegalStateException("The instance list answered " + answer.status());
		}
		final List<Instance> instances = new ArrayList<>();
		for (final JsonNode node : Json.tree(answer.bodyBytes()).path("instances")) {
			instances
				.add(new Instance(node.path("id").asText(), node.path("pool").asText(), node.path("address").asText(),
						node.path("fabric_domain").asText(), node.path("availability_zone").asText(),
						node.path("accelerators").asInt(), "leaving".equals(node.path("state").asText())));
		}
		return instances;
	}

}
