package org.pistachioline.daemon.port;

import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.pistachioline.daemon.Lifecycle;

/**
 * A lease that is held by at most one daemon at a time; only its holder may send orders
 * to instances.
 */
public interface PlannerLease extends Lifecycle {

	/**
	 * Returns the lease's term if this daemon certainly holds the lease. The term
	 * increases with each change of the holder and forms the higher bits of the fencing
	 * token of every order.
	 * @param nowNanos the monotonic time
	 * @return the term; empty if the lease is not held or may have expired
	 */
	Optional<Long> term(long nowNanos);

	/**
	 * Sets the condition under which this daemon requests the lease. A daemon that holds
	 * the lease keeps it even if the condition no longer applies.
	 * @param isCandidate returns whether this daemon requests the lease; must not block
	 */
	void setCandidacy(BooleanSupplier isCandidate);

	/**
	 * Releases the lease, so that another daemon can acquire it before it expires.
	 */
	void release();

}
