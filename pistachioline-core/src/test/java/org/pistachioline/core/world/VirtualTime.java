package org.pistachioline.core.world;

import java.util.PriorityQueue;

/**
 * A virtual clock and event queue for simulations: runs scheduled actions in the order of
 * their times without waiting.
 */
public final class VirtualTime {

	public static final long SECOND_NANOS = 1_000_000_000L;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private long nowNanos = SECOND_NANOS;

	private long sequence;

	/**
	 * Returns the virtual time.
	 * @return the time in nanoseconds
	 */
	public long nowNanos() {
		return this.nowNanos;
	}

	/**
	 * Schedules an action to run once.
	 * @param delayNanos the delay from now
	 * @param action the action
	 */
	public void after(long delayNanos, Runnable action) {
		this.events.add(new Event(this.nowNanos + delayNanos, this.sequence++, action));
	}

	/**
	 * Schedules an action to run repeatedly, first after one interval.
	 * @param intervalNanos the time between two runs
	 * @param action the action
	 */
	public void every(long intervalNanos, Runnable action) {
		after(intervalNanos, () -> {
			action.run();
			every(intervalNanos, action);
		});
	}

	/**
	 * Advances the virtual time and runs the actions that are due.
	 * @param seconds by how much
	 */
	public void run(double seconds) {
		final long untilNanos = this.nowNanos + (long) (seconds * SECOND_NANOS);
		while (!this.events.isEmpty() && this.events.peek().atNanos() <= untilNanos) {
			final Event next = this.events.poll();
			this.nowNanos = next.atNanos();
			next.action().run();
		}
		this.nowNanos = untilNanos;
	}

	private record Event(long atNanos, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			final int byTime = Long.compare(this.atNanos, other.atNanos);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
