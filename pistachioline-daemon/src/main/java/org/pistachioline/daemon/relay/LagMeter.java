package org.pistachioline.daemon.relay;

import java.time.Duration;
import java.util.function.LongConsumer;

import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.daemon.Lifecycle;

/**
 * Measures how late timers run on the threads that relay requests.
 */
public final class LagMeter implements Lifecycle {

	private static final Duration INTERVAL = Duration.ofMillis(100);

	private final ActorSystem<?> system;

	private final LongConsumer receiver;

	private Cancellable timer;

	private long lastNanos;

	/**
	 * Creates a meter.
	 * @param system the actor system whose threads are measured
	 * @param receiver takes how late each timer ran, in nanoseconds; it must not block
	 */
	public LagMeter(ActorSystem<?> system, LongConsumer receiver) {
		this.system = system;
		this.receiver = receiver;
	}

	@Override
	public void start() {
		this.lastNanos = System.nanoTime();
		this.timer = this.system.scheduler()
			.scheduleWithFixedDelay(INTERVAL, INTERVAL, this::onTimer, this.system.executionContext());
	}

	private void onTimer() {
		final long nowNanos = System.nanoTime();
		final long lateNanos = nowNanos - this.lastNanos - INTERVAL.toNanos();
		this.lastNanos = nowNanos;
		this.receiver.accept(Math.max(0, lateNanos));
	}

	@Override
	public void stop() {
		if (this.timer != null) {
			this.timer.cancel();
		}
	}

}
