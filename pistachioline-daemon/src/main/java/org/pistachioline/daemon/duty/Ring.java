package org.pistachioline.daemon.duty;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.jctools.queues.MpscArrayQueue;

/**
 * A bounded ring from many threads to one duty.
 *
 * @param <M> the type of message
 */
public final class Ring<M> {

	private static final long RETRY_INTERVAL_NANOS = 50_000;

	private final String name;

	private final MpscArrayQueue<M> queue;

	private final AtomicLong refusedCount = new AtomicLong();

	/**
	 * Creates an empty ring.
	 * @param name its name in metrics and dumps
	 * @param capacity how many messages it holds
	 */
	public Ring(String name, int capacity) {
		this.name = name;
		this.queue = new MpscArrayQueue<>(capacity);
	}

	/**
	 * Puts a message in, where there is room; the sender decides what happens otherwise.
	 * @param message the message
	 * @return whether there was room
	 */
	public boolean offer(M message) {
		if (this.queue.offer(message)) {
			return true;
		}
		this.refusedCount.incrementAndGet();
		return false;
	}

	/**
	 * Puts a message in and waits for room; for messages whose loss would leave a request
	 * without an end. The duty itself must not call it on its own ring.
	 * @param message the message
	 */
	public void put(M message) {
		while (!this.queue.offer(message)) {
			this.refusedCount.incrementAndGet();
			LockSupport.parkNanos(RETRY_INTERVAL_NANOS);
		}
	}

	/**
	 * Takes a message; only the duty calls it.
	 * @return the message, or null
	 */
	public M poll() {
		return this.queue.poll();
	}

	/**
	 * Returns how many messages wait.
	 * @return the number of messages
	 */
	public int size() {
		return this.queue.size();
	}

	/**
	 * Returns how many messages it holds at most.
	 * @return the number of messages
	 */
	public int capacity() {
		return this.queue.capacity();
	}

	/**
	 * Returns how often there was no room.
	 * @return the number of times
	 */
	public long refusedCount() {
		return this.refusedCount.get();
	}

	/**
	 * Returns the ring's name.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

}
