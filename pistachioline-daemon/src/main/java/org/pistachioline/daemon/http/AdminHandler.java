package org.pistachioline.daemon.http;

import java.util.Map;
import java.util.Optional;

import org.pistachioline.adapters.http.Json;
import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.adapters.web.WebHandler;
import org.pistachioline.adapters.web.WebReply;
import org.pistachioline.adapters.web.WebRequest;

/**
 * Serves the operators' endpoints: health, readiness, metrics, trace and dump.
 */
public final class AdminHandler implements WebHandler {

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int UNAVAILABLE = 503;

	private final DaemonView daemon;

	/**
	 * Creates a handler that serves the state of a daemon.
	 * @param daemon the state of the daemon
	 */
	public AdminHandler(DaemonView daemon) {
		this.daemon = daemon;
	}

	@Override
	public void handle(WebRequest request, WebReply reply) {
		reply.whole(route(request));
	}

	private WebAnswer route(WebRequest request) {
		return switch (request.path()) {
			case "/healthz" -> json(OK, Map.of("status", "alive"));
			case "/readyz" -> ready();
			case "/metrics" -> WebAnswer.text(OK, this.daemon.metrics());
			case "/debug/trace" -> this.daemon.trace()
				.map((lines) -> WebAnswer.text(OK, lines))
				.orElseGet(() -> json(NOT_FOUND, Map.of("status", "not found", "reason", "trace.record is off")));
			case "/debug/dump" -> json(OK, DumpPage.of(request).select(this.daemon.dump()));
			default -> json(NOT_FOUND, Map.of("status", "not found"));
		};
	}

	private WebAnswer ready() {
		final Optional<String> reason = this.daemon.notReadyReason();
		if (reason.isPresent()) {
			return json(UNAVAILABLE, Map.of("status", "not ready", "reason", reason.get()));
		}
		return json(OK, Map.of("status", "ready"));
	}

	private static WebAnswer json(int status, Object body) {
		return WebAnswer.json(status, Json.write(body));
	}

}
