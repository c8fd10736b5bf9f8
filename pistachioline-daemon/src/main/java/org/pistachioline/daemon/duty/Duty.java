package org.pistachioline.daemon.duty;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.javadsl.Behaviors;

import org.pistachioline.core.event.EventId;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.event.Events;

/**
 * One duty: a typed actor on a thread of its own, which empties its ring and ticks.
 * <p>
 * The actor's mailbox holds at most one wake-up and one tick; all messages wait in the
 * bounded ring. A fault in one message is logged and the duty goes on with the next,
 * since a dead duty would leave the daemon running but deaf.
 *
 * @param <M> the type of message
 */
public final class Duty<M> implements Lifecycle {

	private static final int MAX_BATCH_MESSAGES = 256;

	/** An actor system has each name once; several duties of one kind may run on it. */
	private static final AtomicLong NAME_SEQUENCE = new AtomicLong();

	private final ActorSystem<?> system;

	private final Ring<M> ring;

	private final DutyHandler<M> handler;

	private final Duration tickInterval;

	private final AtomicBoolean wakePending = new AtomicBoolean();

	private volatile ActorRef<Signal> actor;

	/**
	 * Creates a duty.
	 * @param system the process's actor system
	 * @param name its name
	 * @param capacity how many messages its ring holds
	 * @param tickInterval the time between two ticks
	 * @param handler what it does
	 */
	public Duty(ActorSystem<?> system, String name, int capacity, Duration tickInterval, DutyHandler<M> handler) {
		this.system = system;
		this.ring = new Ring<>(name, capacity);
		this.handler = handler;
		this.tickInterval = tickInterval;
	}

	@Override
	public void start() {
		this.actor = this.system.systemActorOf(behavior(), this.ring.name() + '-' + NAME_SEQUENCE.incrementAndGet(),
				DispatcherSelector.fromConfig("pistachioline.duty"));
		wake();
	}

	@Override
	public void stop() {
		final ActorRef<Signal> running = this.actor;
		if (running != null) {
			running.tell(Signal.STOP);
		}
	}

	/**
	 * Sends a message, where there is room.
	 * @param message the message
	 * @return whether there was room
	 */
	public boolean offer(M message) {
		final boolean taken = this.ring.offer(message);
		wake();
		return taken;
	}

	/**
	 * Sends a message and waits for room.
	 * @param message the message
	 */
	public void put(M message) {
		if (!this.ring.offer(message)) {
			wake();
			this.ring.put(message);
		}
		wake();
	}

	/**
	 * Returns the duty's ring, for metrics and dumps.
	 * @return the ring
	 */
	public Ring<M> ring() {
		return this.ring;
	}

	private void wake() {
		final ActorRef<Signal> running = this.actor;
		if (running != null && this.wakePending.compareAndSet(false, true)) {
			running.tell(Signal.WAKE);
		}
	}

	private Behavior<Signal> behavior() {
		return Behaviors.withTimers((timers) -> {
			timers.startTimerWithFixedDelay(Signal.TICK, this.tickInterval);
			return Behaviors.receiveMessage(this::onSignal);
		});
	}

	private Behavior<Signal> onSignal(Signal signal) {
		switch (signal) {
			case WAKE -> drain();
			case TICK -> {
				runGuarded(this.handler::onTick);
				// Should a wake-up ever be lost, the ring waits for one tick and not for
				// ever.
				drain();
			}
			case STOP -> {
				return Behaviors.stopped();
			}
		}
		return Behaviors.same();
	}

	private void drain() {
		for (int i = 0; i < MAX_BATCH_MESSAGES; i++) {
			final M message = this.ring.poll();
			if (message == null) {
				break;
			}
			runGuarded(() -> this.handler.onMessage(message));
		}
		this.wakePending.set(false);
		// A message may have come between the last poll and the line above.
		if (this.ring.size() > 0) {
			wake();
		}
	}

	private void runGuarded(Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException ex) {
			Events.log(EventId.DUTY_FAILED, ex, "duty", this.ring.name(), "at",
					(ex.getStackTrace().length > 0) ? ex.getStackTrace()[0] : "unknown");
		}
	}

	private enum Signal {

		WAKE, TICK, STOP

	}

}
