package org.pistachioline.core.quarantine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;

/**
 * One target of a {@link CrashWorld}; each of its lives has an id of its own.
 */
final class CrashWorldTarget {

	private static final int SLOTS = 12;

	private static final long FIRST_EVENT_NANOS = 110 * CrashWorld.MILLI_NANOS;

	private static final long EVENT_NANOS = 50 * CrashWorld.MILLI_NANOS;

	private static final long CRASH_NANOS = 50 * CrashWorld.MILLI_NANOS;

	private static final long RESET_NANOS = 60 * CrashWorld.MILLI_NANOS;

	private static final int MOST_EVENTS = 60;

	private final CrashWorld world;

	private final String id;

	private final Map<Long, Run> runs = new LinkedHashMap<>();

	private int life = 1;

	private boolean up = true;

	private boolean listed = true;

	private long nextRun;

	CrashWorldTarget(CrashWorld world, String id) {
		this.world = world;
		this.id = id;
	}

	private String targetId() {
		return this.id + "~" + this.life + "@" + this.life;
	}

	boolean is(String targetId) {
		return targetId().equals(targetId);
	}

	List<TargetView> views() {
		return this.listed ? List.of(new TargetView(targetId(), TargetKind.MODEL, "pool/m", this.id, this.life, "zone",
				true, SLOTS, 0, 0, 0)) : List.of();
	}

	boolean up() {
		return this.up;
	}

	/**
	 * Takes an attempt that has arrived.
	 * @param attempt the attempt
	 * @param fingerprint its request's fingerprint
	 */
	void run(CrashWorldDaemon.Sent attempt, String fingerprint) {
		final long number = this.nextRun++;
		final Run run = new Run(attempt, fingerprint);
		this.runs.put(number, run);
		this.world.onArrival(attempt.daemon(), fingerprint);
		if (fingerprint.startsWith(CrashWorld.KILLER)) {
			whileRunning(number, FIRST_EVENT_NANOS + CRASH_NANOS, () -> crashUnder(fingerprint));
		}
		else if (this.world.random.nextDouble() < this.world.resets) {
			whileRunning(number, RESET_NANOS, () -> {
				this.runs.remove(number);
				attempt.broken(0);
			});
		}
		else {
			final int events = 1 + this.world.random.nextInt(MOST_EVENTS);
			whileRunning(number, FIRST_EVENT_NANOS, () -> event(number, run, events));
		}
	}

	private void event(long number, Run run, int left) {
		run.events++;
		run.attempt.progress(run.events);
		if (left == 1) {
			this.runs.remove(number);
			run.attempt.complete();
		}
		else {
			whileRunning(number, EVENT_NANOS, () -> event(number, run, left - 1));
		}
	}

	private void whileRunning(long number, long nanos, Runnable what) {
		this.world.after(nanos, () -> {
			if (this.runs.containsKey(number)) {
				what.run();
			}
		});
	}

	void drop(CrashWorldDaemon.Sent attempt) {
		this.runs.values().removeIf((run) -> run.attempt == attempt);
	}

	private void crashUnder(String fingerprint) {
		this.world.onDeath(fingerprint);
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
		this.world.daemons().forEach((daemon) -> daemon.died(targetId(), ended));
		final int over = this.life;
		this.world.unlist(() -> {
			if (this.life == over) {
				this.listed = false;
				this.world.list();
			}
		});
		this.world.after((3 + this.world.random.nextInt(3)) * CrashWorld.SECOND_NANOS, () -> {
			this.life++;
			this.up = true;
			this.listed = true;
			this.world.list();
		});
	}

	/** An attempt that the target works on. */
	static final class Run {

		final CrashWorldDaemon.Sent attempt;

		final String fingerprint;

		int events;

		Run(CrashWorldDaemon.Sent attempt, String fingerprint) {
			this.attempt = attempt;
			this.fingerprint = fingerprint;
		}

	}

}
