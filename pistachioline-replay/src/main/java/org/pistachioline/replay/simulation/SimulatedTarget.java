package org.pistachioline.replay.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.pistachioline.core.placement.PrefixHashes;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.replay.trace.ModelLine;
import org.pistachioline.replay.trace.ServiceLine;

/**
 * A fake of one target: slots, a token clock, a queue of its own and a prefix cache.
 */
final class SimulatedTarget {

	private static final int CHUNK_TOKENS = 32;

	private static final double CHUNK_MILLIS = 250;

	private static final double NANOS_PER_MILLI = 1e6;

	private final EventQueue events;

	private final Figures figures;

	private final TargetKind kind;

	private final String name;

	private final int index;

	private final String availabilityZone;

	private final int slots;

	private final double tokenMillis;

	private final double prefillTokensPerMilli;

	private final double recoverySeconds;

	private final double lostAnswerRatio;

	private final SimulatedCache cache;

	private final Map<AttemptId, Run> running = new LinkedHashMap<>();

	private final PriorityQueue<Run> waiting = new PriorityQueue<>(
			Comparator.comparingInt((Run run) -> -run.submission.info.priority())
				.thenComparingLong((run) -> run.beganNanos));

	private int reportedRunning;

	private int reportedWaiting;

	private double slowFactor = 1;

	private boolean down;

	private long downSinceNanos;

	private long epoch = 1;

	private long accepted;

	SimulatedTarget(EventQueue events, Figures figures, ModelLine model, int index, String availabilityZone) {
		this.events = events;
		this.figures = figures;
		this.kind = TargetKind.MODEL;
		this.name = model.name();
		this.index = index;
		this.availabilityZone = availabilityZone;
		this.slots = model.slots();
		this.tokenMillis = model.tokenMillis();
		this.prefillTokensPerMilli = model.prefillTokensPerMilli();
		this.recoverySeconds = model.recoverySeconds();
		this.lostAnswerRatio = 0;
		this.cache = new SimulatedCache(model.cacheBlocks());
	}

	SimulatedTarget(EventQueue events, Figures figures, ServiceLine service, int index, String availabilityZone) {
		this.events = events;
		this.figures = figures;
		this.kind = TargetKind.SERVICE;
		this.name = service.name();
		this.index = index;
		this.availabilityZone = availabilityZone;
		this.slots = service.slots();
		this.tokenMillis = service.callMillis();
		this.prefillTokensPerMilli = 1e9;
		this.recoverySeconds = 0;
		this.lostAnswerRatio = service.lostAnswerRatio();
		this.cache = new SimulatedCache(0);
	}

	String name() {
		return this.name;
	}

	int index() {
		return this.index;
	}

	String availabilityZone() {
		return this.availabilityZone;
	}

	SimulatedCache cache() {
		return this.cache;
	}

	String targetId() {
		return this.name + "-" + this.index + "@" + this.epoch;
	}

	void report() {
		this.reportedRunning = this.running.size();
		this.reportedWaiting = this.waiting.size();
	}

	TargetView view(long presenceNanos) {
		final long nowNanos = this.events.nowNanos();
		final boolean present = !this.down || nowNanos - this.downSinceNanos < presenceNanos;
		return new TargetView(targetId(), this.kind, this.name, "", this.epoch, this.availabilityZone, present,
				this.slots, this.reportedRunning, this.reportedWaiting, nowNanos);
	}

	void accept(String targetId, Run run) {
		if (run.over) {
			return;
		}
		if (this.down || !targetId.equals(targetId())) {
			run.over = true;
			run.submission.daemon.onAttemptEnd(run, AttemptOutcome.NOT_CONNECTED);
			return;
		}
		run.submission.reachedTarget = true;
		this.figures.onRun(run.submission);
		if (run.submission.call.crashes()) {
			this.running.put(run.attempt, run);
			this.figures.onGroupLost();
			down();
			this.events.afterMillis(this.recoverySeconds * 1_000, this::up);
			return;
		}
		// The order of arrival stands in for the time until the run begins.
		run.beganNanos = this.accepted++;
		this.waiting.add(run);
		fill();
	}

	private void fill() {
		while (this.running.size() < this.slots && !this.waiting.isEmpty()) {
			final Run run = this.waiting.poll();
			if (!run.over) {
				begin(run);
			}
		}
	}

	private void begin(Run run) {
		run.beganNanos = this.events.nowNanos();
		run.submission.runBeganNanos = run.beganNanos;
		this.running.put(run.attempt, run);
		final List<Long> hashes = run.submission.info.prefixHashes();
		final int cached = this.cache.use(hashes);
		if (this.kind == TargetKind.MODEL) {
			this.figures.onPrefix(hashes, cached);
		}
		final int uncached = Math.max(0,
				run.submission.call.promptTokens() + run.position - cached * PrefixHashes.BLOCK_TOKENS);
		this.events.afterMillis((uncached / this.prefillTokensPerMilli + this.tokenMillis) * this.slowFactor,
				() -> advance(run, 1));
	}

	private void advance(Run run, int tokens) {
		if (run.over) {
			return;
		}
		final int total = (this.kind == TargetKind.MODEL) ? run.submission.call.outputTokens() : 1;
		run.position = Math.min(total, run.position + tokens);
		if (run.position >= total) {
			run.over = true;
			this.running.remove(run.attempt);
			if (this.kind == TargetKind.MODEL) {
				run.submission.daemon.onProgress(run);
			}
			run.submission.daemon.onAttemptEnd(run, answerLost(run) ? AttemptOutcome.BROKEN : AttemptOutcome.COMPLETE);
			fill();
			return;
		}
		run.submission.daemon.onProgress(run);
		final int told = (int) Math.max(1, Math.min(CHUNK_TOKENS, CHUNK_MILLIS / (this.tokenMillis * this.slowFactor)));
		final int next = Math.min(told, total - run.position);
		this.events.afterMillis(next * this.tokenMillis * this.slowFactor, () -> advance(run, next));
	}

	private boolean answerLost(Run run) {
		return this.lostAnswerRatio > 0 && run.submission.daemon.chance() < this.lostAnswerRatio;
	}

	void cancel(Run run) {
		run.over = true;
		if (this.running.remove(run.attempt) != null) {
			fill();
		}
		else {
			this.waiting.remove(run);
		}
	}

	void slow(double factor) {
		this.slowFactor = factor;
	}

	void down() {
		if (this.down) {
			return;
		}
		this.down = true;
		this.downSinceNanos = this.events.nowNanos();
		final List<Run> lost = new ArrayList<>(this.running.values());
		lost.addAll(this.waiting);
		this.running.clear();
		this.waiting.clear();
		this.cache.clear();
		report();
		for (final Run run : lost) {
			if (!run.over) {
				run.over = true;
				run.submission.daemon.onAttemptEnd(run, AttemptOutcome.BROKEN);
			}
		}
	}

	void up() {
		if (this.down) {
			this.down = false;
			this.epoch++;
		}
	}

	double capacityMillis(double windowMillis) {
		return (this.kind == TargetKind.MODEL) ? this.slots * windowMillis : 0;
	}

	double nominalMillis(Run run) {
		final double prompt = run.submission.call.promptTokens() / this.prefillTokensPerMilli;
		final double nominal = prompt + run.submission.call.outputTokens() * this.tokenMillis;
		return Math.min(nominal, (this.events.nowNanos() - run.beganNanos) / NANOS_PER_MILLI);
	}

	boolean isModel() {
		return this.kind == TargetKind.MODEL;
	}

}
