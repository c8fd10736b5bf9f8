package org.pistachioline.adapters.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

import org.pistachioline.adapters.http.HttpAnswer;
import org.pistachioline.adapters.http.HttpCaller;
import org.pistachioline.adapters.http.Json;
import org.pistachioline.core.fleet.Instance;

/**
 * The platform's instance list over HTTP; docs/PLATFORM.md has its form.
 * <p>
 * It is read twice a second on every daemon, and a row takes about 150 bytes: at 13,000
 * instances that would be megabytes a second on each. So the list is asked for only if it
 * has changed, where the platform gives entity tags.
 */
public final class HttpInstanceList implements InstanceList {

	private static final int NOT_MODIFIED = 304;

	private static final long CALL_TIMEOUT_MILLIS = 3_000;

	/** Some hundred bytes for each of 50,000 instances. */
	private static final long MAX_LIST_BYTES = 16L * 1024 * 1024;

	private final HttpCaller http;

	private final String url;

	private final AtomicReference<Known> known = new AtomicReference<>(new Known("", List.of()));

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
		final Known last = this.known.get();
		HttpRequest request = HttpRequest.GET(this.url);
		if (!last.tag().isEmpty()) {
			request = request.addHeader(RawHeader.create("If-None-Match", last.tag()));
		}
		return this.http.call(request, CALL_TIMEOUT_MILLIS, MAX_LIST_BYTES).thenApply((answer) -> {
			if (answer.status() == NOT_MODIFIED) {
				return last.instances();
			}
			final List<Instance> instances = instancesOf(answer);
			this.known.set(new Known(answer.tag(), instances));
			return instances;
		});
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

	/**
	 * The last list that came whole.
	 *
	 * @param tag its entity tag; empty where the platform gives none
	 * @param instances its instances
	 */
	private record Known(String tag, List<Instance> instances) {
	}

}
