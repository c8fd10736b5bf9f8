package org.pistachioline.core.route;

/**
 * How an instance of a service behaves until it has warmed up. Above the rate it may
 * crash.
 *
 * @param durationMillis how long an instance is cold after its start
 * @param requestsPerSecond the requests per second that a cold instance tolerates from
 * all daemons together
 */
public record ColdStart(long durationMillis, double requestsPerSecond) {

}
