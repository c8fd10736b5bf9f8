package org.pistachioline.standins;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.pattern.Patterns;

import org.pistachioline.adapters.http.Json;

/**
 * Stands in for the platform's log service: streams, offsets, long poll, retention, an
 * append limit and switchable faults. docs/PLATFORM.md describes its form.
 */
public final class LogStandIn extends StandIn {

	private static final long READ_TIMEOUT_MILLIS = 5_000;

	private static final int MAX_ENTRY_BYTES = 1024 * 1024;

	private final Map<String, LogStream> streams = new HashMap<>();

	private final long retentionMillis;

	private final AppendLimit limit;

	private LogFaults faults = LogFaults.NONE;

	/**
	 * Creates an empty log.
	 * @param system the process's actor system
	 * @param retentionMillis how long entries are kept
	 * @param appendsPerSecond how many appends a second are taken from all together
	 */
	public LogStandIn(ActorSystem<?> system, long retentionMillis, double appendsPerSecond) {
		super(system);
		this.retentionMillis = retentionMillis;
		this.limit = new AppendLimit(appendsPerSecond);
	}

	/**
	 * Switches faults.
	 * @param newFaults the faults from now on
	 */
	public synchronized void faults(LogFaults newFaults) {
		this.faults = newFaults;
	}

	@Override
	protected CompletionStage<HttpResponse> answer(HttpRequest request) {
		final String path = request.getUri().path();
		if (path.equals("/faults")) {
			return body(request).thenApply((bytes) -> {
				faults(Json.read(bytes, LogFaults.class));
				return Answers.json(200, Map.of());
			});
		}
		if (path.equals("/stats")) {
			return Answers.now(Answers.json(200, stats()));
		}
		final String[] parts = path.split("/");
		if (parts.length != 4 || !parts[1].equals("streams") || !parts[3].equals("entries")) {
			request.discardEntityBytes(system());
			return Answers.now(Answers.json(404, Map.of("error", "not_found")));
		}
		final CompletionStage<HttpResponse> answer = request.method().equals(HttpMethods.POST)
				? body(request).thenCompose((bytes) -> append(parts[2], bytes)) : read(parts[2], request);
		return delayed(answer);
	}

	private CompletionStage<HttpResponse> delayed(CompletionStage<HttpResponse> answer) {
		final long delayMillis = currentFaults().delayMillis();
		if (delayMillis <= 0) {
			return answer;
		}
		return Patterns.after(Duration.ofMillis(delayMillis), system().classicSystem(), () -> answer);
	}

	private synchronized LogFaults currentFaults() {
		return this.faults;
	}

	private CompletionStage<byte[]> body(HttpRequest request) {
		return request.entity()
			.toStrict(READ_TIMEOUT_MILLIS, system())
			.thenApply((entity) -> entity.getData().toArray());
	}

	private CompletionStage<HttpResponse> append(String name, byte[] payloadBytes) {
		final long offset;
		final List<CompletableFuture<Void>> waiters;
		final boolean loseAnswer;
		synchronized (this) {
			if (this.faults.outage() || this.faults.refuseAppends()) {
				return Answers.now(Answers.json(503, Map.of("error", "unavailable")));
			}
			if (payloadBytes.length > MAX_ENTRY_BYTES) {
				return Answers.now(Answers.json(413, Map.of("error", "too_large")));
			}
			if (!this.limit.take(System.nanoTime())) {
				return Answers.now(Answers.json(429, Map.of("error", "too_many_appends")));
			}
			final LogStream stream = stream(name);
			offset = stream.append(System.currentTimeMillis(), payloadBytes);
			waiters = stream.takeWaiters();
			loseAnswer = this.faults.loseAppendAnswers() > 0;
			if (loseAnswer) {
				this.faults = new LogFaults(false, this.faults.delayMillis(), this.faults.loseAppendAnswers() - 1,
						false);
			}
		}
		waiters.forEach((waiter) -> waiter.complete(null));
		return loseAnswer ? new CompletableFuture<>() : Answers.now(Answers.json(200, Map.of("offset", offset)));
	}

	private CompletionStage<HttpResponse> read(String name, HttpRequest request) {
		final long from = Answers.queryLong(request.getUri().query(), "from", 0);
		final long waitMillis = Answers.queryLong(request.getUri().query(), "wait_millis", 0);
		final long maxBytes = Answers.queryLong(request.getUri().query(), "max_bytes", MAX_ENTRY_BYTES);
		request.discardEntityBytes(system());
		final CompletableFuture<Void> waiter;
		synchronized (this) {
			if (this.faults.outage()) {
				return Answers.now(Answers.json(503, Map.of("error", "unavailable")));
			}
			final LogStream stream = stream(name);
			if (waitMillis <= 0 || from < stream.endOffset()) {
				return Answers.now(Answers.json(200, page(stream, from, maxBytes)));
			}
			waiter = stream.newWaiter();
		}
		return waiter.completeOnTimeout(null, waitMillis, java.util.concurrent.TimeUnit.MILLISECONDS)
			.thenApply((done) -> {
				synchronized (this) {
					if (this.faults.outage()) {
						return Answers.json(503, Map.of("error", "unavailable"));
					}
					return Answers.json(200, page(stream(name), from, maxBytes));
				}
			});
	}

	private LogStream stream(String name) {
		final LogStream stream = this.streams.computeIfAbsent(name, (key) -> new LogStream());
		stream.expire(System.currentTimeMillis() - this.retentionMillis);
		return stream;
	}

	private static Map<String, Object> page(LogStream stream, long from, long maxBytes) {
		final List<Map<String, Object>> entries = new ArrayList<>();
		for (final LogStream.Entry entry : stream.from(from, maxBytes)) {
			entries.add(Map.of("offset", entry.offset(), "appended_at_millis", entry.appendedAtMillis(), "payload",
					Base64.getEncoder().encodeToString(entry.payloadBytes())));
		}
		return Map.of("head", stream.headOffset(), "end", stream.endOffset(), "entries", entries);
	}

	private synchronized Map<String, Object> stats() {
		final Map<String, Object> stats = new HashMap<>();
		this.streams.forEach((name, stream) -> stats.put(name,
				Map.of("end", stream.endOffset(), "appended_bytes", stream.appendedBytes())));
		return stats;
	}

}
