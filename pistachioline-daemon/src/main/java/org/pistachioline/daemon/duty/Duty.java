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
 * Event loop of one area of the daemon: a typed actor with a thread of its own, which
 * passes the messages of its ring to a handler in order, and ticks at regular intervals.
 * <p>
 * Messages wait in the bounded ring, so the actor's mailbox holds at most one wake-up and
 * one tick. An exception of the handler is logged and the duty continues with the next
 * message, since the daemon would otherwise keep running without handling any of them. So
 * is an exhausted stack, which is gone with the call: the actor system would end the
 * process for it, and whatever message caused it would end the next process as well.
 *
 * @param <M> the type of messages
 */
public final class Duty<M> implements Lifecycle {

	private static final int MAX_BATCH_MESSAGES = 256;

	/** Makes actor names unique, as several duties of one name may share a system. */
	private static final AtomicLong NAME_SEQUENCE = new AtomicLong();

	private final ActorSystem<?> system;

	private final Ring<M> ring;

	private final DutyHandler<M> handler;

	private final Duration tickInterval;

	private final AtomicBoolean wakePending = new AtomicBoolean();

	private volatile ActorRef<Signal> actor;

	/**
	 * Creates a duty without starting it.
	 * @param system the process's actor system
	 * @param name the name of the duty and its ring, in logs, metrics and dumps
	 * @param capacity the capacity of its ring, in messages
	 * @param tickInterval the time between the end of a tick and the next one
	 * @param handler the handler of messages and ticks
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
	 * Sends a message unless the ring is full.
	 * @param message the message
	 * @return whether the message was accepted
	 */
	public boolean offer(M message) {
		final boolean accepted = this.ring.offer(message);
		wake();
		return accepted;
	}

	/**
	 * Sends a message and blocks while the ring is full. The duty's own thread must not
	 * call it.
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
				// Bounds the delay of messages by one tick if a wake-up is ever lost.
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
		// A message that was offered since the last poll has not sent a wake-up.
		if (this.ring.size() > 0) {
			wake();
		}
	}

	private void runGuarded(Runnable action) {
		try {
			action.run();
		}
		catch (RuntimeException | StackOverflowError ex) {
			Events.log(EventId.DUTY_FAILED, ex, "duty", this.ring.name(), "at",
					(ex.getStackTrace().length > 0) ? ex.getStackTrace()[0] : "unknown");
		}
	}

	private enum Signal {

		WAKE, TICK, STOP

	}

}
