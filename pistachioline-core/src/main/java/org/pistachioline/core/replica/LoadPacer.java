package org.pistachioline.core.replica;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Keeps loads from the weight store under its rate.
 * <p>
 * Made for a whole fabric domain that comes back at once: every host then wants its
 * weights, and beyond the store's rate all of them get them later. A planner that takes
 * over does not know what the last one began, so it starts as though the window were full
 * and waits until it has passed.
 */
final class LoadPacer {

	/** The part of the rate that is used; orders that were repeated may load twice. */
	private static final double USED_RATIO = 0.8;

	private final long windowNanos;

	private final Deque<Long> begunAtNanos = new ArrayDeque<>();

	private long closedUntilNanos = Long.MIN_VALUE;

	LoadPacer(long windowNanos) {
		this.windowNanos = windowNanos;
	}

	void takeOver(long nowNanos) {
		this.begunAtNanos.clear();
		this.closedUntilNanos = nowNanos + this.windowNanos;
	}

	void open() {
		this.closedUntilNanos = Long.MIN_VALUE;
	}

	/**
	 * Begins loads, where the rate allows all of them.
	 * @param nowNanos the monotonic time
	 * @param loads how many
	 * @param perSecond the store's rate
	 * @return whether they may begin
	 */
	boolean begin(long nowNanos, int loads, double perSecond) {
		while (!this.begunAtNanos.isEmpty() && nowNanos - this.begunAtNanos.peekFirst() > this.windowNanos) {
			this.begunAtNanos.pollFirst();
		}
		final double allowed = USED_RATIO * perSecond * this.windowNanos / 1e9;
		final boolean closed = this.closedUntilNanos != Long.MIN_VALUE && nowNanos < this.closedUntilNanos;
		if (closed || this.begunAtNanos.size() + loads > allowed) {
			return false;
		}
		for (int i = 0; i < loads; i++) {
			this.begunAtNanos.addLast(nowNanos);
		}
		return true;
	}

}
