package org.pistachioline.replay.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.HdrHistogram.Histogram;

import org.pistachioline.core.error.RunState;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.replay.trace.Trace;

/**
 * What callers felt in one replay.
 */
public final class Figures {

	private static final double NANOS_PER_MILLI = 1e6;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final int DIGITS = 3;

	private final long fromNanos;

	private final long toNanos;

	private final long firstTokenNanos;

	private final Map<String, Histogram> firstTokens = new HashMap<>();

	private final Map<String, Double> goodMillis = new HashMap<>();

	private final Map<String, Long> counts = new HashMap<>();

	private final Map<String, Integer> runsByKey = new HashMap<>();

	private final Set<Long> seenPrefixes = new HashSet<>();

	private final Set<String> answeredCalls = new HashSet<>();

	private long idealBlocks;

	private long hitBlocks;

	private double capacityMillis;

	private int maxQueued;

	private int maxLiveRuns;

	private int maxRunsByKey;

	Figures(Trace trace) {
		this.fromNanos = Math.round(trace.header().measureFromSeconds() * NANOS_PER_SECOND);
		this.toNanos = Math.round(trace.header().measureToSeconds() * NANOS_PER_SECOND);
		this.firstTokenNanos = trace.header().firstTokenMillis() * 1_000_000L;
	}

	private boolean measured(long atNanos) {
		return atNanos >= this.fromNanos && atNanos < this.toNanos;
	}

	private void count(String what, String workspace) {
		this.counts.merge(what, 1L, Long::sum);
		this.counts.merge(what + "/" + workspace, 1L, Long::sum);
	}

	private long counted(String what, String workspace) {
		return this.counts.getOrDefault(workspace.isEmpty() ? what : what + "/" + workspace, 0L);
	}

	void onSubmit(Submission submission) {
		count("submitted", submission.call.workspace());
		if (submission.repeatsLeft == submission.call.repeats()) {
			count("calls", submission.call.workspace());
		}
	}

	void onRun(Submission submission) {
		submission.runs++;
		count("runs", submission.call.workspace());
		if (!submission.call.key().isEmpty()) {
			final int runs = this.runsByKey.merge(submission.call.key(), 1, Integer::sum);
			this.maxRunsByKey = Math.max(this.maxRunsByKey, runs);
		}
	}

	void onLiveRuns(int liveRuns) {
		this.maxLiveRuns = Math.max(this.maxLiveRuns, liveRuns);
	}

	void onPrefix(List<Long> hashes, int cached) {
		int ideal = 0;
		while (ideal < hashes.size() && this.seenPrefixes.contains(hashes.get(ideal))) {
			ideal++;
		}
		this.seenPrefixes.addAll(hashes);
		this.idealBlocks += ideal;
		this.hitBlocks += Math.min(ideal, cached);
	}

	void onGroupLost() {
		count("groups_lost", "");
	}

	void onComplete(Run run, SimulatedTarget target) {
		final Submission submission = run.submission;
		if (submission.firstTokenAtNanos == 0) {
			return;
		}
		final boolean inTime = submission.firstTokenAtNanos - submission.atNanos <= this.firstTokenNanos;
		if (inTime) {
			final long endNanos = submission.firstTokenAtNanos;
			count("good", submission.call.workspace());
			final double nominal = target.nominalMillis(run);
			final double from = Math.max(this.fromNanos, run.beganNanos);
			final double until = Math.min(this.toNanos, Math.max(endNanos, run.beganNanos + nominal * NANOS_PER_MILLI));
			this.goodMillis.merge(submission.call.workspace(),
					Math.max(0, Math.min(nominal, (until - from) / NANOS_PER_MILLI)), Double::sum);
		}
		if (measured(submission.atNanos)) {
			final long millis = Math.max(1,
					Math.round((submission.firstTokenAtNanos - submission.atNanos) / NANOS_PER_MILLI));
			histogram("").recordValue(millis);
			histogram(submission.call.workspace()).recordValue(millis);
		}
	}

	private Histogram histogram(String workspace) {
		return this.firstTokens.computeIfAbsent(workspace, (key) -> new Histogram(DIGITS));
	}

	void onFail(Submission submission, TrafficAction.Fail fail) {
		count("failed", submission.call.workspace());
		count("failed-" + fail.kind().code(), submission.call.workspace());
		if (fail.runState() == RunState.NOT_RUN && submission.reachedTarget) {
			count("false_not_run", submission.call.workspace());
		}
		final boolean given = fail.kind().retryable() && fail.runState() == RunState.NOT_RUN
				&& fail.retryAfterMillis() == 0;
		if (given) {
			count("without_retry_after", submission.call.workspace());
		}
	}

	void onEnd(Submission submission, boolean answered) {
		count("ended", submission.call.workspace());
		if (submission.ends > 1) {
			count("ended_again", submission.call.workspace());
		}
		if (answered) {
			count("answered", submission.call.workspace());
			if (submission.call.key().isEmpty() || this.answeredCalls.add(submission.call.key())) {
				count("answered_calls", submission.call.workspace());
			}
		}
	}

	void onConnectionLost(Submission submission) {
		count("ended", submission.call.workspace());
		count("connection_lost", submission.call.workspace());
	}

	void onQueued(List<SimulatedDaemon> daemons) {
		for (final SimulatedDaemon daemon : daemons) {
			this.maxQueued = Math.max(this.maxQueued, daemon.queued());
		}
	}

	void onOver(List<SimulatedTarget> targets) {
		final double windowMillis = (this.toNanos - this.fromNanos) / NANOS_PER_MILLI;
		this.capacityMillis = targets.stream().mapToDouble((target) -> target.capacityMillis(windowMillis)).sum();
	}

	/**
	 * Returns a figure.
	 * @param measure the measure
	 * @param workspace the workspace; empty for all
	 * @param error the error's code; empty for all
	 * @return the figure
	 * @throws IllegalArgumentException if there is no such measure
	 */
	public double figure(String measure, String workspace, String error) {
		return switch (measure) {
			case "goodput_ratio" -> good(workspace) / this.capacityMillis;
			case "share_ratio" -> good(workspace) / Math.max(1e-9, good(""));
			case "first_token_p50_millis" -> firstToken(workspace, 50);
			case "first_token_p95_millis" -> firstToken(workspace, 95);
			case "first_token_p99_millis" -> firstToken(workspace, 99);
			case "failed_ratio" -> ratio(error.isEmpty() ? "failed" : "failed-" + error, "submitted", workspace);
			case "failed" -> counted(error.isEmpty() ? "failed" : "failed-" + error, workspace);
			case "answered_calls_ratio" -> ratio("answered_calls", "calls", workspace);
			case "good_calls_ratio" -> ratio("good", "calls", workspace);
			case "runs_per_call" -> ratio("runs", "calls", workspace);
			case "runs_by_key_max" -> this.maxRunsByKey;
			case "live_attempts_max" -> this.maxLiveRuns;
			case "groups_lost" -> counted("groups_lost", "");
			case "false_not_run" -> counted("false_not_run", workspace);
			case "without_retry_after" -> counted("without_retry_after", workspace);
			case "not_ended_once" ->
				counted("submitted", workspace) - counted("ended", workspace) + 2 * counted("ended_again", workspace);
			case "queued_max" -> this.maxQueued;
			case "cache_hit_ratio" -> (this.idealBlocks == 0) ? 1 : (double) this.hitBlocks / this.idealBlocks;
			default -> throw new IllegalArgumentException("there is no measure " + measure);
		};
	}

	private double good(String workspace) {
		return workspace.isEmpty() ? this.goodMillis.values().stream().mapToDouble(Double::doubleValue).sum()
				: this.goodMillis.getOrDefault(workspace, 0.0);
	}

	private double firstToken(String workspace, double percentile) {
		final Histogram histogram = this.firstTokens.get(workspace);
		return (histogram != null) ? histogram.getValueAtPercentile(percentile) : Double.POSITIVE_INFINITY;
	}

	private double ratio(String part, String whole, String workspace) {
		return (double) counted(part, workspace) / Math.max(1, counted(whole, workspace));
	}

}
