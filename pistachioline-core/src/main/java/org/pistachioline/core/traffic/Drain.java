package org.pistachioline.core.traffic;

/**
 * The terms on which a daemon that is leaving accepts new requests.
 *
 * @param endsAtNanos when the last request must have ended, by the monotonic clock
 * @param acceptance what shows that a request ends in time
 * @param retryAfterMillis the time after which a refused caller is expected to be served
 * @param afterLastRequest whether that time begins with the end of this daemon's last
 * request, because nobody serves before it has come back
 */
public record Drain(long endsAtNanos, DrainAcceptance acceptance, long retryAfterMillis, boolean afterLastRequest) {

}
