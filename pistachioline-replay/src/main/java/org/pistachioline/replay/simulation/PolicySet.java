package org.pistachioline.replay.simulation;

import java.util.Locale;

import org.pistachioline.core.admission.AdmitAll;
import org.pistachioline.core.admission.WorkspaceLimits;
import org.pistachioline.core.placement.LeastInFlight;
import org.pistachioline.core.placement.PlacementPolicy;
import org.pistachioline.core.placement.RoundRobin;
import org.pistachioline.core.quarantine.LogBasedQuarantine;
import org.pistachioline.core.quarantine.NoQuarantine;
import org.pistachioline.core.queueing.FifoQueue;
import org.pistachioline.core.retry.BudgetedRetry;
import org.pistachioline.core.traffic.StandardPolicies;
import org.pistachioline.core.traffic.TrafficPolicies;

/**
 * The policies that are replayed side by side.
 */
public enum PolicySet {

	/** What the daemon runs. */
	PISTACHIOLINE,

	/** Limits, first come first served, one target after the other. */
	ROUND_ROBIN,

	/** Limits, first come first served, the target with the fewest attempts. */
	LEAST_IN_FLIGHT,

	/**
	 * No limits, first come first served, retries without a budget, no quarantine, no
	 * claims.
	 */
	ADMIT_ALL;

	private static final int MAX_QUEUED = 10_000;

	/**
	 * Creates the policies of one daemon.
	 * @param availabilityZone where the daemon runs
	 * @param seed the seed of its choices
	 * @return the policies
	 */
	TrafficPolicies create(String availabilityZone, long seed) {
		return switch (this) {
			case PISTACHIOLINE -> StandardPolicies.create(availabilityZone, seed);
			case ROUND_ROBIN -> limited(new RoundRobin());
			case LEAST_IN_FLIGHT -> limited(new LeastInFlight());
			case ADMIT_ALL -> new TrafficPolicies(new AdmitAll(), new FifoQueue(Integer.MAX_VALUE), new LeastInFlight(),
					new UnlimitedRetry(), new NoQuarantine());
		};
	}

	/**
	 * Returns whether requests with a key are claimed before they run.
	 * @return whether they are; the baseline that admits all sends them like any other
	 */
	boolean claims() {
		return this != ADMIT_ALL;
	}

	private static TrafficPolicies limited(PlacementPolicy placement) {
		return new TrafficPolicies(new WorkspaceLimits(), new FifoQueue(MAX_QUEUED), placement, new BudgetedRetry(),
				new LogBasedQuarantine());
	}

	/**
	 * Returns the name in reports.
	 * @return the name, in snake case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
