package org.pistachioline.core.traffic;

import java.util.function.IntSupplier;

import org.pistachioline.core.admission.AdmitAll;
import org.pistachioline.core.admission.FleetAdmission;
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
		return new TrafficPolicies(new AdmitAll(), new FairQueue(MAX_QUEUED_REQUESTS, new OnTimeFirstOrder()),
				new ExpectedWaitPlacement(availabilityZone, seed, true),
				new SharedBudgetRetry(retryBudget, daemonCount), quarantine, new FastMigrationPolicy());
	}

	/**
	 * Creates the policies of one of many daemons that share their targets and decide
	 * about load by the demand of the whole fleet.
	 * @param availabilityZone the availability zone in which the daemon runs
	 * @param seed the random seed, different on each daemon
	 * @param retryBudget the limit on retries of all daemons together
	 * @param daemonCount supplies the number of daemons that share budget and targets
	 * @param quarantine the policy that identifies requests which crash targets
	 * @param admission decides which requests are admitted
	 * @return the policies
	 */
	public static TrafficPolicies createForFleet(String availabilityZone, long seed, RetryBudget retryBudget,
			IntSupplier daemonCount, QuarantinePolicy quarantine, FleetAdmission admission) {
		return new TrafficPolicies(admission,
				FairQueue.byRank(MAX_QUEUED_REQUESTS, new OnTimeFirstOrder(), admission::hasRoomForLate),
				new WeightedSubsetPlacement(availabilityZone, seed), new SharedBudgetRetry(retryBudget, daemonCount),
				quarantine, new FastMigrationPolicy());
	}

}
