package org.pistachioline.core.traffic;

import org.pistachioline.core.admission.WorkspaceLimits;
import org.pistachioline.core.placement.ExpectedWaitPlacement;
import org.pistachioline.core.quarantine.LogBasedQuarantine;
import org.pistachioline.core.queueing.FairQueue;
import org.pistachioline.core.retry.BudgetedRetry;

/**
 * Puts together the behaviours that a daemon runs, so that the trace replay measures the
 * very same.
 */
public final class StandardPolicies {

	/** How many requests may wait on one daemon: at 16 KB each, 160 MB of bodies. */
	private static final int MAX_QUEUED_REQUESTS = 10_000;

	private StandardPolicies() {
	}

	/**
	 * Creates the policies of one daemon.
	 * @param availabilityZone where the daemon runs
	 * @param seed what makes its choices differ from those of other daemons
	 * @return the policies
	 */
	public static TrafficPolicies create(String availabilityZone, long seed) {
		return new TrafficPolicies(new WorkspaceLimits(), new FairQueue(MAX_QUEUED_REQUESTS),
				new ExpectedWaitPlacement(availabilityZone, seed), new BudgetedRetry(), new LogBasedQuarantine());
	}

}
