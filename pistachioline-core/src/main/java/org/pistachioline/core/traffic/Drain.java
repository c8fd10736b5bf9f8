package org.pistachioline.core.traffic;

/**
 * The terms on which a daemon that is leaving accepts new requests.
 *
 * @param endsAtNanos when the last request must have ended, by the monotonic clock
 * @param retryAfterMillis the time after which another daemon is expected to serve a
 * refused caller
 * @param acceptsEstimates whether a request that may be repeated is accepted also if it
 * is only estimated to end in time; otherwise its deadline must be in time
 */
public record Drain(long endsAtNanos, long retryAfterMillis, boolean acceptsEstimates) {

}
