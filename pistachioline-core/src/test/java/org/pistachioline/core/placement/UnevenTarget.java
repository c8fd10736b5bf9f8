package org.pistachioline.core.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.LongConsumer;

import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.world.VirtualTime;

/**
 * A target with a pace of its own that slows down as it fills, queues what exceeds its
 * slots and reports a load that is 200 ms old.
 */
final class UnevenTarget {

	private static final long REPORT_AGE_NANOS = 200_000_000L;

	private static final double TOKEN_NANOS = 6_450_000;

	private final VirtualTime time;

	private final Deque<Runnable> waiting = new ArrayDeque<>();

	private final List<int[]> history = new ArrayList<>();

	private final List<Long> historyNanos = new ArrayList<>();

	final String id;

	final String zone;

	final int slots;

	final double pace;

	boolean up = true;

	boolean listed = true;

	int running;

	int started;

	private double busyNanos;

	private long busyUntilNanos;

	UnevenTarget(VirtualTime time, String id, String zone, int slots, double pace) {
		this.time = time;
		this.id = id;
		this.zone = zone;
		this.slots = slots;
		this.pace = pace;
	}

	/**
	 * Runs a request.
	 * @param workNanos its duration on an idle target of pace 1
	 * @param onStart called when a slot is taken, with the duration of the work
	 */
	void run(long workNanos, LongConsumer onStart) {
		this.waiting.add(() -> {
			this.running++;
			this.started++;
			final long nanos = (long) (workNanos * slowness());
			onStart.accept(nanos);
			this.time.after(nanos, () -> {
				record();
				this.running--;
				startWaiting();
				record();
			});
		});
		startWaiting();
		record();
	}

	private double slowness() {
		return (1 + (double) this.running / this.slots / 2) / this.pace;
	}

	/**
	 * Returns the time that a request needs for some tokens now.
	 * @param tokens the number of tokens
	 * @return the time in nanoseconds
	 */
	long tokenNanos(int tokens) {
		return (long) (tokens * TOKEN_NANOS * slowness());
	}

	private void startWaiting() {
		while (this.running < this.slots && !this.waiting.isEmpty()) {
			this.waiting.poll().run();
		}
	}

	private void record() {
		account();
		this.history.add(new int[] { this.running, this.waiting.size() });
		this.historyNanos.add(this.time.nowNanos());
	}

	private void account() {
		this.busyNanos += (double) (this.time.nowNanos() - this.busyUntilNanos) * lastLoad();
		this.busyUntilNanos = this.time.nowNanos();
	}

	private int lastLoad() {
		return this.history.isEmpty() ? 0
				: this.history.get(this.history.size() - 1)[0] + this.history.get(this.history.size() - 1)[1];
	}

	int waiting() {
		return this.waiting.size();
	}

	/**
	 * Returns the time spent on requests, running and waiting, for each slot.
	 * @return the time in nanoseconds since the start
	 */
	double busyNanosPerSlot() {
		account();
		return this.busyNanos / this.slots;
	}

	TargetView view(boolean reported) {
		final long atNanos = this.time.nowNanos() - REPORT_AGE_NANOS;
		int index = this.history.size() - 1;
		while (index >= 0 && this.historyNanos.get(index) > atNanos) {
			index--;
		}
		final int[] load = (reported && index >= 0) ? this.history.get(index) : new int[2];
		return new TargetView(this.id, TargetKind.MODEL, "model", this.id, 0, this.zone, this.listed, this.slots,
				load[0], load[1], reported ? atNanos : -VirtualTime.SECOND_NANOS * 100);
	}

}
