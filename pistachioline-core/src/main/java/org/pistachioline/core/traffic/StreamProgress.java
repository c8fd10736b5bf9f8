package org.pistachioline.core.traffic;

/**
 * How far a running stream and its target are.
 *
 * @param attemptHasOutput whether the present attempt delivered anything
 * @param progressAtNanos when the stream last delivered something, or when its attempt
 * was sent
 * @param targetProgressAtNanos when its target last delivered something to any request of
 * this daemon
 */
public record StreamProgress(boolean attemptHasOutput, long progressAtNanos, long targetProgressAtNanos) {

}
