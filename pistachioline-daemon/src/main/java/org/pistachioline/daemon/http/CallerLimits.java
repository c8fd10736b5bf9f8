package org.pistachioline.daemon.http;

/**
 * Limits for callers' requests, and how long callers may cache the list of daemons.
 *
 * @param maxBodyBytes the maximum size of a request body
 * @param bodyTimeoutMillis the maximum time in which a body must arrive
 * @param endpointTtlSeconds how long a response of {@code /v1/endpoints} may be cached
 */
public record CallerLimits(long maxBodyBytes, long bodyTimeoutMillis, long endpointTtlSeconds) {

}
