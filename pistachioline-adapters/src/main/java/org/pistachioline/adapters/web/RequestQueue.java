package org.pistachioline.adapters.web;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.util.concurrent.EventExecutor;

/**
 * Requests of all connections of a server that have been read and wait to be handled.
 * <p>
 * They are handled for a short time, then all connections are read again: on a loop that
 * runs late many callers leave before their requests' turn comes. Not thread-safe; it
 * belongs to the loop.
 */
final class RequestQueue {

	static final long TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private final LongSupplier nanoClock;

	private final Queue<Runnable> waiting = new ArrayDeque<>();

	private boolean scheduled;

	/**
	 * Creates an empty queue.
	 * @param nanoClock the monotonic time, in nanoseconds
	 */
	RequestQueue(LongSupplier nanoClock) {
		this.nanoClock = nanoClock;
	}

	/**
	 * Adds a request, which is handled after what is being read now.
	 * @param loop the loop's executor
	 * @param handling handles it
	 */
	void add(EventExecutor loop, Runnable handling) {
		this.waiting.add(handling);
		if (!this.scheduled) {
			this.scheduled = true;
			loop.execute(() -> handle(loop));
		}
	}

	private void handle(EventExecutor loop) {
		final long beganAtNanos = this.nanoClock.getAsLong();
		this.scheduled = false;
		try {
			while (!this.waiting.isEmpty() && this.nanoClock.getAsLong() - beganAtNanos < TURN_NANOS) {
				this.waiting.poll().run();
			}
		}
		finally {
			if (!this.waiting.isEmpty() && !this.scheduled) {
				this.scheduled = true;
				// A scheduled task waits for the next turn, unlike one that is executed.
				loop.schedule(() -> handle(loop), 0, TimeUnit.NANOSECONDS);
			}
		}
	}

}
