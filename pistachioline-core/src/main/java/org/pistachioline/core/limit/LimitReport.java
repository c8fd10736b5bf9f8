package org.pistachioline.core.limit;

/**
 * A limit in force, as shown to operators.
 *
 * @param instanceId the instance
 * @param requestsPerSecond the limit for all daemons together
 * @param ownRequestsPerSecond this daemon's share of it
 * @param heardAgeMillis time since the limit was last received, in milliseconds
 * @param recentAttempts number of attempts that this daemon started in the last four
 * seconds
 */
public record LimitReport(String instanceId, double requestsPerSecond, double ownRequestsPerSecond, long heardAgeMillis,
		int recentAttempts) {

}
