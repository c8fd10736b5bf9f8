package org.pistachioline.core.limit;

/**
 * An instance that names a limit, for operators.
 *
 * @param instanceId the instance
 * @param requestsPerSecond its limit, for all daemons together
 * @param ownRequestsPerSecond this daemon's part of it
 * @param heardAgeMillis how long ago it was heard
 * @param recentAttempts how many attempts this daemon sent there in the last four seconds
 */
public record LimitReport(String instanceId, double requestsPerSecond, double ownRequestsPerSecond, long heardAgeMillis,
		int recentAttempts) {

}
