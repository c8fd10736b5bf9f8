package org.pistachioline.standins;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.pattern.Patterns;

import org.pistachioline.adapters.http.Json;

/**
 * Stands in for a plain service that counts how often it ran for each key.
 */
public final class ServiceStandIn extends StandIn {

	private static final long READ_TIMEOUT_MILLIS = 5_000;

	private final String name;

	private final Map<String, Integer> runsByKey = new HashMap<>();

	private ServiceFaults faults = ServiceFaults.NONE;

	private int runs;

	/**
	 * Creates a service.
	 * @param system the process's actor system
	 * @param name its name
	 */
	public ServiceStandIn(ActorSystem<?> system, String name) {
		super(system);
		this.name = name;
	}

	/**
	 * Switches faults.
	 * @param newFaults the faults from now on
	 */
	public synchronized void faults(ServiceFaults newFaults) {
		this.faults = newFaults;
	}

	/**
	 * Returns how often it ran for each key.
	 * @return the number of runs by key
	 */
	public synchronized Map<String, Integer> runsByKey() {
		return Map.copyOf(this.runsByKey);
	}

	@Override
	protected CompletionStage<HttpResponse> answer(HttpRequest request) {
		final String path = request.getUri().path();
		if (path.equals("/runs")) {
			request.discardEntityBytes(system());
			return Answers.now(Answers.json(200, runsByKey()));
		}
		return request.entity().toStrict(READ_TIMEOUT_MILLIS, system()).thenCompose((entity) -> {
			if (path.equals("/faults")) {
				faults(Json.read(entity.getData().toArray(), ServiceFaults.class));
				return Answers.now(Answers.json(200, Map.of()));
			}
			final String key = request.getHeader("Idempotency-Key").map((header) -> header.value()).orElse("");
			return run(key, path);
		});
	}

	private CompletionStage<HttpResponse> run(String key, String path) {
		final int run;
		final ServiceFaults now;
		synchronized (this) {
			this.runs++;
			run = this.runs;
			this.runsByKey.merge(key, 1, Integer::sum);
			now = this.faults;
			if (now.loseAnswers() > 0) {
				this.faults = new ServiceFaults(now.delayMillis(), now.loseAnswers() - 1);
			}
		}
		if (now.loseAnswers() > 0) {
			return new CompletableFuture<>();
		}
		final HttpResponse response = Answers.json(200,
				Map.of("service", this.name, "path", path, "run", run, "key", key));
		if (now.delayMillis() <= 0) {
			return Answers.now(response);
		}
		return Patterns.after(java.time.Duration.ofMillis(now.delayMillis()), system().classicSystem(),
				() -> Answers.now(response));
	}

}
