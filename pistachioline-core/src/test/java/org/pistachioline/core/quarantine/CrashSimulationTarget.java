package org.pistachioline.core.quarantine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;

/**
 * One target of a {@link CrashSimulation}; each of its lives has an id of its own.
 */
final class CrashSimulationTarget {

	private static final int SLOTS = 12;

	private static final long FIRST_EVENT_NANOS = 110 * CrashSimulation.MILLI_NANOS;

	private static final long EVENT_INTERVAL_NANOS = 50 * CrashSimulation.MILLI_NANOS;

	private static final long CRASH_DELAY_NANOS = 50 * CrashSimulation.MILLI_NANOS;

	private static final long RESET_DELAY_NANOS = 60 * CrashSimulation.MILLI_NANOS;

	private static final int MAX_EVENTS = 60;

	private final CrashSimulation world;

	private final String id;

	private final Map<Long, Run> runs = new LinkedHashMap<>();

	private int incarnation = 1;

	private boolean up = true;

	private boolean listed = true;

	private long nextRunId;

	CrashSimulationTarget(CrashSimulation world, String id) {
		this.world = world;
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
	 * Takes an attempt that has arrived.
	 * @param attempt the attempt
	 * @param fingerprint its request's fingerprint
	 */
	void run(CrashSimulationDaemon.Sent attempt, String fingerprint) {
		final long number = this.nextRunId++;
		final Run run = new Run(attempt, fingerprint);
		this.runs.put(number, run);
		this.world.onArrival(attempt.daemon(), fingerprint);
		if (fingerprint.startsWith(CrashSimulation.CRASHING_PREFIX)) {
			whileRunning(number, FIRST_EVENT_NANOS + CRASH_DELAY_NANOS, () -> crashUnder(fingerprint));
		}
		else if (this.world.random.nextDouble() < this.world.resetRatio) {
			whileRunning(number, RESET_DELAY_NANOS, () -> {
				this.runs.remove(number);
				attempt.broken(0);
			});
		}
		else {
			final int events = 1 + this.world.random.nextInt(MAX_EVENTS);
			whileRunning(number, FIRST_EVENT_NANOS, () -> sendEvent(number, run, events));
		}
	}

	private void sendEvent(long number, Run run, int left) {
		run.events++;
		run.attempt.progress(run.events);
		if (left == 1) {
			this.runs.remove(number);
			run.attempt.complete();
		}
		else {
			whileRunning(number, EVENT_INTERVAL_NANOS, () -> sendEvent(number, run, left - 1));
		}
	}

	private void whileRunning(long number, long nanos, Runnable what) {
		this.world.after(nanos, () -> {
			if (this.runs.containsKey(number)) {
				what.run();
			}
		});
	}

	void cancel(CrashSimulationDaemon.Sent attempt) {
		this.runs.values().removeIf((run) -> run.attempt == attempt);
	}

	private void crashUnder(String fingerprint) {
		this.world.onCrash(fingerprint);
		crash();
	}

	/** Ends the target; it is back some seconds later, in another life. */
	void crash() {
		if (!this.up) {
			return;
		}
		this.up = false;
		final List<Run> ended = new ArrayList<>(this.runs.values());
		this.runs.clear();
		ended.forEach((run) -> run.attempt.broken(run.events));
		this.world.daemons().forEach((daemon) -> daemon.onTargetCrash(targetId(), ended));
		final int over = this.incarnation;
		this.world.afterDelisting(() -> {
			if (this.incarnation == over) {
				this.listed = false;
				this.world.updateTargets();
			}
		});
		this.world.after((3 + this.world.random.nextInt(3)) * CrashSimulation.SECOND_NANOS, () -> {
			this.incarnation++;
			this.up = true;
			this.listed = true;
			this.world.updateTargets();
		});
	}

	/** An attempt that the target works on. */
	static final class Run {

		final CrashSimulationDaemon.Sent attempt;

		final String fingerprint;

		int events;

		Run(CrashSimulationDaemon.Sent attempt, String fingerprint) {
			this.attempt = attempt;
			this.fingerprint = fingerprint;
		}

	}

}
