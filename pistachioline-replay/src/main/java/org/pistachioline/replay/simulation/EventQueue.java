package org.pistachioline.replay.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual time: events in order, at equal times in the order in which they were set.
 */
final class EventQueue {

	private static final double NANOS_PER_MILLI = 1e6;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));

	private long nowNanos = 1;

	private long sequence;

	long nowNanos() {
		return this.nowNanos;
	}

	void afterMillis(double millis, Runnable action) {
		at(this.nowNanos + Math.max(0, Math.round(millis * NANOS_PER_MILLI)), action);
	}

	void atMillis(double millis, Runnable action) {
		at(Math.max(this.nowNanos, Math.round(millis * NANOS_PER_MILLI)), action);
	}

	private void at(long atNanos, Runnable action) {
		this.events.add(new Event(atNanos, this.sequence++, action));
	}

	boolean runNext() {
		final Event event = this.events.poll();
		if (event == null) {
			return false;
		}
		this.nowNanos = event.atNanos();
		event.action().run();
		return true;
	}

	private record Event(long atNanos, long sequence, Runnable action) {
	}

}
