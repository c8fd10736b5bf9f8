package org.pistachioline.daemon.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.apache.commons.codec.digest.DigestUtils;

import org.pistachioline.adapters.http.Json;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.traffic.RequestInfo;

/**
 * Keeps the recent arrivals of a daemon as a trace that the replay takes.
 * <p>
 * Prompts and keys are never kept: of a prompt there are lengths and hashes of its
 * blocks, of a key a hash of its hash. The oldest arrivals are dropped, so that a
 * recording left on costs a bounded amount of memory, about 10 MB at most.
 */
public final class TraceRecorder {

	private static final int MAX_ARRIVALS = 20_000;

	private static final int KEY_HASH_DIGITS = 16;

	/** Written where a daemon does not know how fast targets are; to be set by hand. */
	private static final int PLACEHOLDER_MILLIS = 20;

	private static final int PLACEHOLDER_SERVICE_SLOTS = 64;

	private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private final boolean recording;

	private final Deque<Arrival> arrivals = new ArrayDeque<>();

	private final Map<Long, Arrival> activeArrivals = new HashMap<>();

	/**
	 * Creates a recorder.
	 * @param recording whether anything is kept
	 */
	public TraceRecorder(boolean recording) {
		this.recording = recording;
	}

	/**
	 * Returns whether anything is kept.
	 * @return whether it records
	 */
	public boolean isRecording() {
		return this.recording;
	}

	/**
	 * Keeps an arrival.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 */
	public synchronized void onArrival(long nowNanos, RequestInfo info) {
		if (!this.recording) {
			return;
		}
		final Arrival arrival = new Arrival(nowNanos, info);
		this.arrivals.add(arrival);
		this.activeArrivals.put(info.requestId(), arrival);
		if (this.arrivals.size() > MAX_ARRIVALS) {
			this.activeArrivals.remove(this.arrivals.poll().info.requestId());
		}
	}

	/**
	 * Notes how long an answer is.
	 * @param requestId the request
	 * @param tokens the tokens so far
	 */
	public synchronized void onTokens(long requestId, int tokens) {
		final Arrival arrival = this.activeArrivals.get(requestId);
		if (arrival != null) {
			arrival.outputTokens = Math.max(arrival.outputTokens, tokens);
		}
	}

	/**
	 * Notes that a request has ended.
	 * @param requestId the request
	 */
	public synchronized void onEnd(long requestId) {
		this.activeArrivals.remove(requestId);
	}

	/**
	 * Writes what was kept, in the form of docs/TRACES.md.
	 * @param name the trace's name
	 * @param manifest the manifest in force
	 * @param replicas how many targets serve each model and service, by name
	 * @return the lines
	 */
	public synchronized String toJsonLines(String name, Manifest manifest, Map<String, Integer> replicas) {
		final StringBuilder lines = new StringBuilder();
		final long firstNanos = this.arrivals.isEmpty() ? 0 : this.arrivals.peekFirst().arrivedAtNanos;
		final long lastNanos = this.arrivals.isEmpty() ? 0 : this.arrivals.peekLast().arrivedAtNanos;
		append(lines, "header", "name", name, "daemons", 1, "duration_seconds",
				(lastNanos - firstNanos) / NANOS_PER_MILLI / 1_000, "first_token_millis",
				manifest.deadlines().firstTokenMillis(), "total_millis", manifest.deadlines().totalMillis());
		manifest.models()
			.forEach((model) -> append(lines, "model", "name", model.name(), "replicas",
					Math.max(1, replicas.getOrDefault(model.name(), 1)), "slots", model.maxConcurrentRequests(),
					"token_millis", PLACEHOLDER_MILLIS));
		manifest.services()
			.forEach((service) -> append(lines, "service", "name", service.name(), "replicas",
					Math.max(1, replicas.getOrDefault(service.name(), 1)), "slots", PLACEHOLDER_SERVICE_SLOTS,
					"call_millis", PLACEHOLDER_MILLIS));
		manifest.workspaces()
			.forEach((workspace) -> append(lines, "workspace", "name", workspace.name(), "weight", workspace.weight(),
					"requests_per_second", workspace.requestsPerSecond(), "tokens_in_flight",
					workspace.tokensInFlight(), "queued_requests", workspace.queuedRequests()));
		this.arrivals.forEach((arrival) -> append(lines, "arrival", "at_millis",
				(arrival.arrivedAtNanos - firstNanos) / NANOS_PER_MILLI, "workspace", arrival.info.workspace(),
				"target", arrival.info.name(), "prompt_tokens", arrival.info.promptTokens(), "output_tokens",
				arrival.outputTokens, "max_output_tokens", arrival.info.maxOutputTokens(), "priority",
				arrival.info.priority(), "prefix_hashes", arrival.info.prefixHashes(), "key", key(arrival.info)));
		return lines.toString();
	}

	private static String key(RequestInfo info) {
		return info.claim().isRequired() ? DigestUtils.sha256Hex(info.claim().keyHash()).substring(0, KEY_HASH_DIGITS)
				: "";
	}

	private static void append(StringBuilder lines, String kind, Object... pairs) {
		final Map<String, Object> line = new LinkedHashMap<>();
		line.put("kind", kind);
		for (int i = 0; i < pairs.length; i += 2) {
			line.put((String) pairs[i], pairs[i + 1]);
		}
		lines.append(Json.write(line)).append('\n');
	}

	private static final class Arrival {

		private final long arrivedAtNanos;

		private final RequestInfo info;

		private int outputTokens;

		Arrival(long atNanos, RequestInfo info) {
			this.arrivedAtNanos = atNanos;
			this.info = info;
		}

	}

}
