package org.pistachioline.daemon.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.Uri;

import org.pistachioline.adapters.http.Json;

/**
 * Answers operators: health, readiness, metrics and the dump.
 */
public final class AdminHandler {

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int UNAVAILABLE = 503;

	private final ActorSystem<?> system;

	private final DaemonView daemon;

	/**
	 * Creates a handler.
	 * @param system the process's actor system
	 * @param daemon what is known of the daemon
	 */
	public AdminHandler(ActorSystem<?> system, DaemonView daemon) {
		this.system = system;
		this.daemon = daemon;
	}

	/**
	 * Answers a request.
	 * @param request the request
	 * @return the answer
	 */
	public CompletionStage<HttpResponse> handle(HttpRequest request) {
		request.discardEntityBytes(this.system);
		return CompletableFuture.completedFuture(answer(request.getUri()));
	}

	private HttpResponse answer(Uri uri) {
		return switch (uri.path()) {
			case "/healthz" -> json(OK, Map.of("status", "alive"));
			case "/readyz" -> ready();
			case "/metrics" -> HttpResponse.create()
				.withEntity(ContentTypes.TEXT_PLAIN_UTF8, this.daemon.metrics().getBytes(StandardCharsets.UTF_8));
			case "/debug/trace" -> this.daemon.trace()
				.map((lines) -> HttpResponse.create()
					.withEntity(ContentTypes.TEXT_PLAIN_UTF8, lines.getBytes(StandardCharsets.UTF_8)))
				.orElseGet(() -> json(NOT_FOUND, Map.of("status", "not found", "reason", "trace.record is off")));
			case "/debug/dump" -> json(OK, DumpPage.of(uri.query()).cut(this.daemon.dump()));
			default -> json(NOT_FOUND, Map.of("status", "not found"));
		};
	}

	private HttpResponse ready() {
		final Optional<String> reason = this.daemon.notReadyReason();
		if (reason.isPresent()) {
			return json(UNAVAILABLE, Map.of("status", "not ready", "reason", reason.get()));
		}
		return json(OK, Map.of("status", "ready"));
	}

	private static HttpResponse json(int status, Object body) {
		return HttpResponse.create()
			.withStatus(status)
			.withEntity(ContentTypes.APPLICATION_JSON, Json.write(body).getBytes(StandardCharsets.UTF_8));
	}

}
