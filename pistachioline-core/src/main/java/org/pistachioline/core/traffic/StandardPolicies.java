package org.pistachioline.core.traffic;

import org.pistachioline.core.admission.WorkspaceLimits;
import org.pistachioline.core.placement.ExpectedWaitPlacement;
import org.pistachioline.core.quarantine.LogBasedQuarantine;
import org.pistachioline.core.queueing.FairQueue;
import org.pistachioline.core.retry.BudgetedRetry;

/**
 * Assembles the standard policies of a daemon. The trace replay uses the same factory, so
 * that it measures the policies of production.
 */
public final class StandardPolicies {

	/** At 16 KB each, the bodies of the queued requests take 160 MB at most. */
	private static final int MAX_QUEUED_REQUESTS = 10_000;

	private StandardPolicies() {
	}

	/**
	 * Creates the policies of one daemon.
	 * @param availabilityZone the availability zone in which the daemon runs
	 * @param seed the random seed, different on each daemon, so that daemons do not all
	 * choose the same targets
	 * @return the policies
	 */
	public static TrafficPolicies create(String availabilityZone, long seed) {
		return new TrafficPolicies(new WorkspaceLimits(), new FairQueue(MAX_QUEUED_REQUESTS),
				new ExpectedWaitPlacement(availabilityZone, seed), new BudgetedRetry(), new LogBasedQuarantine());
	}

}
