package org.pistachioline.daemon.duty;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/**
 * Checks that a ring is linearizable as a bounded queue. Lincheck requires the class to
 * be public.
 */
public class RingLincheckTests {

	private static final int CAPACITY = 4;

	private final Ring<Integer> ring = new Ring<>("test", CAPACITY);

	/**
	 * Adds a message unless the ring is full.
	 * @param message the message
	 * @return whether the message was added
	 */
	@Operation
	public boolean offer(int message) {
		return this.ring.offer(message);
	}

	/**
	 * Removes a message. Lincheck calls it from one thread only, as the ring requires.
	 * @return the message; null if the ring is empty
	 */
	@Operation(nonParallelGroup = "duty")
	public Integer poll() {
		return this.ring.poll();
	}

	// Guards against messages that are lost or duplicated when two threads add to the
	// ring while the duty drains it: a request would never end, or end twice. Model
	// checking enumerates the interleavings, so unlike that of a stress test its duration
	// does not depend on the load of the machine.
	@Test
	void messagesAreNeitherLostNorDuplicatedNorReordered() {
		new ModelCheckingOptions().iterations(6)
			.invocationsPerIteration(300)
			.threads(3)
			.actorsPerThread(2)
			.check(RingLincheckTests.class);
	}

}
