package org.pistachioline.daemon;

import java.util.List;

import org.pistachioline.core.replica.PlannerTimes;
import org.pistachioline.core.retry.RetryBudget;

/**
 * The settings of a daemon that relays by routes.
 *
 * @param daemonId the daemon's name
 * @param availabilityZone its availability zone
 * @param callerAddress where it listens for callers
 * @param adminAddress where it listens for operators
 * @param peerAddress where it listens for other daemons
 * @param peerSeeds addresses of daemons to begin with
 * @param firstStart whether the whole system starts for the first time
 * @param graceMillis how long after the order to stop it is ended by force
 * @param maxListAgeMillis how old the list of instances may become before this daemon
 * reads it for itself
 * @param retryBudget the bound on attempts beyond the first
 * @param plannerTimes the times that planners keep to
 */
public record RoutingSettings(String daemonId, String availabilityZone, String callerAddress, String adminAddress,
		String peerAddress, List<String> peerSeeds, boolean firstStart, long graceMillis, long maxListAgeMillis,
		RetryBudget retryBudget, PlannerTimes plannerTimes) {

	public RoutingSettings {
		peerSeeds = List.copyOf(peerSeeds);
	}

}
