package org.pistachioline.core.traffic;

import java.util.function.IntSupplier;

import org.pistachioline.core.admission.AdmitAll;
import org.pistachioline.core.placement.ExpectedWaitPlacement;
import org.pistachioline.core.quarantine.QuarantinePolicy;
import org.pistachioline.core.queueing.FairQueue;
import org.pistachioline.core.queueing.OnTimeFirstOrder;
import org.pistachioline.core.retry.RetryBudget;
import org.pistachioline.core.retry.SharedBudgetRetry;

/**
 * Puts together the behaviours of a daemon that relays by routes, so that its tests run
 * the very same.
 */
public final class RoutingPolicies {

	/** Each waiting request holds its body; at a few KB each this is a few MB. */
	private static final int MAX_QUEUED_REQUESTS = 2_000;

	private RoutingPolicies() {
	}

	/**
	 * Creates the policies of one daemon.
	 * @param availabilityZone where the daemon runs
	 * @param seed what makes its choices differ from those of other daemons
	 * @param retryBudget the bound on repeats for all daemons together
	 * @param daemons tells how many daemons share it
	 * @param killer which requests are held to crash targets
	 * @return the policies
	 */
	public static TrafficPolicies create(String availabilityZone, long seed, RetryBudget retryBudget,
			IntSupplier daemons, QuarantinePolicy killer) {
		return new TrafficPolicies(new AdmitAll(), new FairQueue(MAX_QUEUED_REQUESTS, new OnTimeFirstOrder()),
				new ExpectedWaitPlacement(availabilityZone, seed, true), new SharedBudgetRetry(retryBudget, daemons),
				killer, new FastMigrationPolicy());
	}

}
