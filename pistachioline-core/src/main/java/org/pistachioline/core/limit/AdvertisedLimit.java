package org.pistachioline.core.limit;

import java.util.OptionalDouble;

/**
 * The rate limit that an instance last advertised, for all daemons together.
 *
 * @param instanceId the instance
 * @param requestsPerSecond the limit; empty if the instance advertised none
 * @param receivedAtNanos when a daemon received it from the instance, by this daemon's
 * monotonic clock
 */
public record AdvertisedLimit(String instanceId, OptionalDouble requestsPerSecond, long receivedAtNanos) {

}
