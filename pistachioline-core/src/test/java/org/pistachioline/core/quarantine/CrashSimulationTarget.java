package org.pistachioline.core.quarantine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;

/**
 * A simulated target. Each restart gives it a new id.
 */
final class CrashSimulationTarget {

	private static final int SLOTS = 12;

	private static final long FIRST_EVENT_NANOS = 110 * CrashSimulation.MILLI_NANOS;

	private static final long EVENT_INTERVAL_NANOS = 50 * CrashSimulation.MILLI_NANOS;

	private static final long CRASH_DELAY_NANOS = 50 * CrashSimulation.MILLI_NANOS;

	private static final long RESET_DELAY_NANOS = 60 * CrashSimulation.MILLI_NANOS;

	private static final int MAX_EVENTS = 60;

	private final CrashSimulation simulation;

	private final String id;

	private final Map<Long, Run> runs = new LinkedHashMap<>();

	private int incarnation = 1;

	private boolean up = true;

	private boolean listed = true;

	private long nextRunId;

	CrashSimulationTarget(CrashSimulation simulation, String id) {
		this.simulation = simulation;
		this.id = id;
	}

	private String targetId() {
		return this.id + "~" + this.incarnation + "@" + this.incarnation;
	}

	boolean hasId(String targetId) {
		return targetId().equals(targetId);
	}

	List<TargetView> views() {
		return this.listed ? List.of(new TargetView(targetId(), TargetKind.MODEL, "pool/m", this.id, this.incarnation,
				"zone", true, SLOTS, 0, 0, 0)) : List.of();
	}

	boolean up() {
		return this.up;
	}

	/**
	 * Runs an attempt: crashes, resets the connection or produces events until
	 * completion.
	 * @param attempt the attempt
	 * @param fingerprint the request's fingerprint
	 * @param promptParts the parts of its prompt that it shares with others
	 */
	void run(CrashSimulationDaemon.SentAttempt attempt, String fingerprint, List<String> promptParts) {
		final long runId = this.nextRunId++;
		final Run run = new Run(attempt, fingerprint, promptParts);
		final Optional<String> culprit = CrashSimulation.culprit(fingerprint, promptParts);
		this.runs.put(runId, run);
		if (culprit.isPresent()) {
			this.simulation.onArrival(attempt.daemon(), culprit.get());
			whileRunning(runId, FIRST_EVENT_NANOS + CRASH_DELAY_NANOS, () -> crashUnder(culprit.get()));
		}
		else if (this.simulation.random.nextDouble() < this.simulation.resetRatio) {
			whileRunning(runId, RESET_DELAY_NANOS, () -> {
				this.runs.remove(runId);
				attempt.broken(0);
			});
		}
		else {
			final int events = 1 + this.simulation.random.nextInt(MAX_EVENTS);
			whileRunning(runId, FIRST_EVENT_NANOS, () -> sendEvent(runId, run, events));
		}
	}

	private void sendEvent(long runId, Run run, int remaining) {
		run.events++;
		run.attempt.progress(run.events);
		if (remaining == 1) {
			this.runs.remove(runId);
			run.attempt.complete();
		}
		else {
			whileRunning(runId, EVENT_INTERVAL_NANOS, () -> sendEvent(runId, run, remaining - 1));
		}
	}

	private void whileRunning(long runId, long nanos, Runnable action) {
		this.simulation.after(nanos, () -> {
			if (this.runs.containsKey(runId)) {
				action.run();
			}
		});
	}

	void cancel(CrashSimulationDaemon.SentAttempt attempt) {
		this.runs.values().removeIf((run) -> run.attempt == attempt);
	}

	private void crashUnder(String culprit) {
		this.simulation.onCrash(culprit);
		crash();
	}

	/** Crashes the target; it restarts three to five seconds later under a new id. */
	void crash() {
		if (!this.up) {
			return;
		}
		this.up = false;
		final List<Run> interrupted = new ArrayList<>(this.runs.values());
		this.runs.clear();
		interrupted.forEach((run) -> run.attempt.broken(run.events));
		this.simulation.daemons().forEach((daemon) -> daemon.onTargetCrash(targetId(), interrupted));
		final int crashedIncarnation = this.incarnation;
		this.simulation.afterDelisting(() -> {
			if (this.incarnation == crashedIncarnation) {
				this.listed = false;
				this.simulation.updateTargets();
			}
		});
		this.simulation.after((3 + this.simulation.random.nextInt(3)) * CrashSimulation.SECOND_NANOS, () -> {
			this.incarnation++;
			this.up = true;
			this.listed = true;
			this.simulation.updateTargets();
		});
	}

	/** An attempt that is running on the target. */
	static final class Run {

		final CrashSimulationDaemon.SentAttempt attempt;

		final String fingerprint;

		final List<String> promptParts;

		int events;

		Run(CrashSimulationDaemon.SentAttempt attempt, String fingerprint, List<String> promptParts) {
			this.attempt = attempt;
			this.fingerprint = fingerprint;
			this.promptParts = promptParts;
		}

	}

}
