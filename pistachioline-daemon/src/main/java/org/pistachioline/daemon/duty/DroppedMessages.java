package org.pistachioline.daemon.duty;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import org.pistachioline.core.event.EventId;
import org.pistachioline.daemon.event.Events;

/**
 * Logs the messages that were dropped because a ring was full, at most once a second. An
 * overloaded duty drops many at once, and a line for each would load the daemon further.
 */
public final class DroppedMessages {

	private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final String ring;

	private final LongSupplier nanoClock;

	private final AtomicLong nextLogAtNanos;

	private final AtomicLong droppedCount = new AtomicLong();

	/**
	 * Creates the log; any thread may use it.
	 * @param ring the ring's name
	 * @param nanoClock the monotonic time, in nanoseconds
	 */
	public DroppedMessages(String ring, LongSupplier nanoClock) {
		this.ring = ring;
		this.nanoClock = nanoClock;
		this.nextLogAtNanos = new AtomicLong(nanoClock.getAsLong());
	}

	/**
	 * Counts a dropped message, and logs it with those since the last line unless that
	 * line is recent.
	 * @param message what the message would have told
	 */
	public void onDropped(String message) {
		this.droppedCount.incrementAndGet();
		final long nowNanos = this.nanoClock.getAsLong();
		final long dueAtNanos = this.nextLogAtNanos.get();
		if (nowNanos - dueAtNanos >= 0
				&& this.nextLogAtNanos.compareAndSet(dueAtNanos, nowNanos + LOG_INTERVAL_NANOS)) {
			Events.log(EventId.RING_FULL, "ring", this.ring, "message", message, "dropped",
					this.droppedCount.getAndSet(0));
		}
	}

}
