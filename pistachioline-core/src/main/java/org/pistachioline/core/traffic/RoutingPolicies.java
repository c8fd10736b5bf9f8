package org.pistachioline.core.traffic;

import java.util.function.IntSupplier;

import org.pistachioline.core.admission.AdmitAll;
import org.pistachioline.core.placement.ExpectedWaitPlacement;
import org.pistachioline.core.placement.WeightedSubsetPlacement;
import org.pistachioline.core.quarantine.QuarantinePolicy;
import org.pistachioline.core.queueing.FairQueue;
import org.pistachioline.core.queueing.OnTimeFirstOrder;
import org.pistachioline.core.retry.RetryBudget;
import org.pistachioline.core.retry.SharedBudgetRetry;

/**
 * Assembles the policies of a daemon that relays requests by configured routes. Tests use
 * the same factory, so that they run the policies of production.
 */
public final class RoutingPolicies {

	/** Each queued request holds its body; at a few KB each, this is a few MB. */
	private static final int MAX_QUEUED_REQUESTS = 2_000;

	private RoutingPolicies() {
	}

	/**
	 * Creates the policies of one daemon.
	 * @param availabilityZone the availability zone in which the daemon runs
	 * @param seed the random seed, different on each daemon, so that daemons do not all
	 * choose the same targets
	 * @param retryBudget the limit on retries of all daemons together
	 * @param daemonCount supplies the number of daemons that share the budget
	 * @param quarantine the policy that identifies requests which crash targets
	 * @return the policies
	 */
	public static TrafficPolicies create(String availabilityZone, long seed, RetryBudget retryBudget,
			IntSupplier daemonCount, QuarantinePolicy quarantine) {
		return create(availabilityZone, seed, retryBudget, daemonCount, quarantine, false);
	}

	/**
	 * Creates the policies of one daemon.
	 * @param availabilityZone the availability zone in which the daemon runs
	 * @param seed the random seed, different on each daemon, so that daemons do not all
	 * choose the same targets
	 * @param retryBudget the limit on retries of all daemons together
	 * @param daemonCount supplies the number of daemons that share the budget
	 * @param quarantine the policy that identifies requests which crash targets
	 * @param fleetDecisions whether daemons divide the load of the whole fleet: each one
	 * prefers a subset of the targets
	 * @return the policies
	 */
	public static TrafficPolicies create(String availabilityZone, long seed, RetryBudget retryBudget,
			IntSupplier daemonCount, QuarantinePolicy quarantine, boolean fleetDecisions) {
		return new TrafficPolicies(new AdmitAll(), new FairQueue(MAX_QUEUED_REQUESTS, new OnTimeFirstOrder()),
				fleetDecisions ? new WeightedSubsetPlacement(availabilityZone, seed)
						: new ExpectedWaitPlacement(availabilityZone, seed, true),
				new SharedBudgetRetry(retryBudget, daemonCount), quarantine, new FastMigrationPolicy());
	}

}
