package org.pistachioline.core.world;

import java.util.PriorityQueue;

/**
 * Runs what is due in the order of its time, without waiting for it.
 */
public final class VirtualTime {

	/** One second. */
	public static final long SECOND_NANOS = 1_000_000_000L;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private long nowNanos = SECOND_NANOS;

	private long sequence;

	/**
	 * Returns the time.
	 * @return the time in nanoseconds
	 */
	public long nowNanos() {
		return this.nowNanos;
	}

	/**
	 * Runs something once.
	 * @param nanos how much later
	 * @param action what is run
	 */
	public void after(long nanos, Runnable what) {
		this.events.add(new Event(this.nowNanos + nanos, this.sequence++, what));
	}

	/**
	 * Runs something again and again.
	 * @param nanos the time between two runs
	 * @param action what is run
	 */
	public void every(long nanos, Runnable what) {
		after(nanos, () -> {
			what.run();
			every(nanos, what);
		});
	}

	/**
	 * Lets time pass.
	 * @param seconds how much
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
