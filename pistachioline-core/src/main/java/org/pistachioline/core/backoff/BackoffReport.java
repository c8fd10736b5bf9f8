package org.pistachioline.core.backoff;

/**
 * An instance that is to receive no requests, as shown to operators.
 *
 * @param instanceId the instance
 * @param leaving whether the instance is leaving
 * @param leftMillis the remaining backoff in milliseconds; 0 if the instance is leaving
 * @param attempts number of attempts that this daemon started on the instance
 * nevertheless
 */
public record BackoffReport(String instanceId, boolean leaving, long leftMillis, int attempts) {

}
