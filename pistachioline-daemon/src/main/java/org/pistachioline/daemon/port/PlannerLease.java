package org.pistachioline.daemon.port;

import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.pistachioline.daemon.Lifecycle;

/**
 * A lease that at most one daemon holds: only its holder gives orders.
 */
public interface PlannerLease extends Lifecycle {

	/**
	 * Returns the lease's number, if this daemon holds it for certain. The number rises
	 * with each change of the holder, and is the fencing token of every order.
	 * @param nowNanos the monotonic time
	 * @return the number; empty where the lease is not held or may have lapsed
	 */
	Optional<Long> term(long nowNanos);

	/**
	 * Sets who asks for the lease; whoever holds it keeps it until it is lost.
	 * @param isCandidate returns whether this daemon asks; it must not block
	 */
	void setCandidacy(BooleanSupplier isCandidate);

	/**
	 * Gives the lease up, so that another daemon need not wait until it lapses.
	 */
	void release();

}
