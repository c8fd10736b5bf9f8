package org.pistachioline.daemon.duty;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.jctools.queues.MpscArrayQueue;

/**
 * Bounded queue of messages from many producer threads to one duty, as the only consumer.
 *
 * @param <M> the type of messages
 */
public final class Ring<M> {

	private static final long RETRY_INTERVAL_NANOS = 50_000;

	private final String name;

	private final MpscArrayQueue<M> queue;

	private final AtomicLong refusedCount = new AtomicLong();

	/**
	 * Creates an empty ring.
	 * @param name the name in metrics and dumps
	 * @param capacity the number of messages that it holds; rounded up to a power of two
	 */
	public Ring(String name, int capacity) {
		this.name = name;
		this.queue = new MpscArrayQueue<>(capacity);
	}

	/**
	 * Adds a message unless the ring is full; the sender handles the refusal.
	 * @param message the message
	 * @return whether the message was added
	 */
	public boolean offer(M message) {
		if (this.queue.offer(message)) {
			return true;
		}
		this.refusedCount.incrementAndGet();
		return false;
	}

	/**
	 * Adds a message and blocks while the ring is full. It is meant for messages without
	 * which a request would never end. The consuming duty must not call it, as it would
	 * wait for itself.
	 * @param message the message
	 */
	public void put(M message) {
		while (!this.queue.offer(message)) {
			this.refusedCount.incrementAndGet();
			LockSupport.parkNanos(RETRY_INTERVAL_NANOS);
		}
	}

	/**
	 * Removes the oldest message. Only the consuming duty may call it.
	 * @return the message; null if the ring is empty
	 */
	public M poll() {
		return this.queue.poll();
	}

	/**
	 * Returns the number of messages in the ring.
	 * @return the number of messages
	 */
	public int size() {
		return this.queue.size();
	}

	/**
	 * Returns the number of messages that the ring can hold.
	 * @return the number of messages
	 */
	public int capacity() {
		return this.queue.capacity();
	}

	/**
	 * Returns how often the ring was full when a message was to be added; each retry of
	 * {@link #put(Object)} counts.
	 * @return the number of refusals
	 */
	public long refusedCount() {
		return this.refusedCount.get();
	}

	/**
	 * Returns the ring's name in metrics and dumps.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

}
