package org.pistachioline.core.cold;

/**
 * A cold instance, as shown to operators.
 *
 * @param instanceId the instance
 * @param requestsPerSecond the rate for all daemons together
 * @param ownRequestsPerSecond this daemon's part of it
 * @param remainingMillis how long the instance is expected to stay cold, in milliseconds
 * @param attempts number of attempts that this daemon has started while the instance was
 * cold
 */
public record ColdReport(String instanceId, double requestsPerSecond, double ownRequestsPerSecond, long remainingMillis,
		long attempts) {

}
