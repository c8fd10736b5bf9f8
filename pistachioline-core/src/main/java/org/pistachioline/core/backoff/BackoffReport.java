package org.pistachioline.core.backoff;

/**
 * An instance that wants no requests, for operators.
 *
 * @param instanceId the instance
 * @param leaving whether it leaves
 * @param leftMillis how long it wants none yet; 0 where it leaves
 * @param attempts how many attempts this daemon has started there all the same
 */
public record BackoffReport(String instanceId, boolean leaving, long leftMillis, int attempts) {

}
