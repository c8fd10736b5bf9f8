package org.pistachioline.daemon.duty;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/**
 * Checks that a ring behaves as a bounded queue under any interleaving; Lincheck needs
 * the class to be public.
 */
public class RingLincheckTests {

	private static final int CAPACITY = 4;

	private final Ring<Integer> ring = new Ring<>("test", CAPACITY);

	/**
	 * Puts a message in.
	 * @param message the message
	 * @return whether there was room
	 */
	@Operation
	public boolean offer(int message) {
		return this.ring.offer(message);
	}

	/**
	 * Takes a message; only one thread does.
	 * @return the message, or null
	 */
	@Operation(nonParallelGroup = "duty")
	public Integer poll() {
		return this.ring.poll();
	}

	// Two threads hand a duty messages while it empties its ring. A message that is lost
	// or seen twice would leave a request without an end, or end it twice. Model checking
	// takes its interleavings one by one, so that its length does not hang on the load of
	// the machine, as that of stress runs does.
	@Test
	void messagesAreNeitherLostNorDuplicatedNorReordered() {
		new ModelCheckingOptions().iterations(6)
			.invocationsPerIteration(300)
			.threads(3)
			.actorsPerThread(2)
			.check(RingLincheckTests.class);
	}

}
