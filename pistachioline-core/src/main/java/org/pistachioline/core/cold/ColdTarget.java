package org.pistachioline.core.cold;

/**
 * An instance that has not warmed up.
 *
 * @param instanceId the instance
 * @param coldUntilNanos until when it is expected to be cold, by this daemon's monotonic
 * clock
 */
public record ColdTarget(String instanceId, long coldUntilNanos) {

}
