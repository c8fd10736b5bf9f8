package org.pistachioline.core.limit;

import java.util.OptionalDouble;

/**
 * What an instance last said of how many requests it takes from all daemons together.
 *
 * @param instanceId the instance
 * @param requestsPerSecond the limit; empty where it names none
 * @param receivedAtNanos when a daemon heard it from the instance, by this daemon's
 * monotonic clock
 */
public record AdvertisedLimit(String instanceId, OptionalDouble requestsPerSecond, long receivedAtNanos) {

}
