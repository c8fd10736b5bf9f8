package org.pistachioline.daemon;

import java.util.List;

import org.pistachioline.core.replica.OrderFencing;
import org.pistachioline.core.replica.PlannerTimes;
import org.pistachioline.core.retry.RetryBudget;

/**
 * Settings of a {@link RoutingDaemon}.
 *
 * @param daemonId the daemon's unique name
 * @param availabilityZone the availability zone that the daemon runs in
 * @param callerAddress the address on which it listens for callers, as host and port
 * @param adminAddress the address on which it listens for operators, as host and port
 * @param peerAddress the address on which it listens for other daemons, as host and port
 * @param tunnelAddress the address on which it opens connections to targets on behalf of
 * other daemons, as host and port
 * @param peerSeeds the addresses of daemons through which it discovers the others
 * @param firstStart whether the whole system starts for the first time
 * @param graceMillis the time from the signal to stop until the process is killed
 * @param maxListAgeMillis the age of the instance list beyond which this daemon reads it
 * from the platform itself
 * @param retryBudget the limit on attempts after the first
 * @param plannerTimes the timing parameters of the planner
 * @param cpuCores the processor cores that the daemon may use; 0 if not known
 * @param fleetDecisions whether daemons decide about load by the demand and the capacity
 * of the whole fleet, not only by what each one sees
 * @param orderFencing whether instances enforce the fencing tokens of orders
 */
public record RoutingSettings(String daemonId, String availabilityZone, String callerAddress, String adminAddress,
		String peerAddress, String tunnelAddress, List<String> peerSeeds, boolean firstStart, long graceMillis,
		long maxListAgeMillis, RetryBudget retryBudget, PlannerTimes plannerTimes, double cpuCores,
		boolean fleetDecisions, OrderFencing orderFencing) {

	public RoutingSettings {
		peerSeeds = List.copyOf(peerSeeds);
	}

	/**
	 * Returns whether the settings name a daemon other than this one.
	 * @return whether the fleet has other daemons
	 */
	boolean namesOtherDaemons() {
		return this.peerSeeds.stream().anyMatch((seed) -> !seed.equals(this.peerAddress));
	}

}
