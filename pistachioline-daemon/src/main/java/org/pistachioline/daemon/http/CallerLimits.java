package org.pistachioline.daemon.http;

/**
 * The limits on what callers send.
 *
 * @param maxBodyBytes the largest body
 * @param bodyTimeoutMillis the longest time for sending a body
 * @param endpointTtlSeconds how long an answer of {@code /v1/endpoints} may be kept
 */
public record CallerLimits(long maxBodyBytes, long bodyTimeoutMillis, long endpointTtlSeconds) {

}
