package org.pistachioline.core.traffic;

/**
 * The most recent progress of a running stream and of its target.
 *
 * @param attemptHasOutput whether the present attempt has delivered any output
 * @param progressAtNanos when the stream last delivered output, or, before the first
 * output, when its attempt was sent
 * @param targetProgressAtNanos when the target last delivered output to any request of
 * this daemon
 */
public record StreamProgress(boolean attemptHasOutput, long progressAtNanos, long targetProgressAtNanos) {

}
