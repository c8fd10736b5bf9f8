package org.pistachioline.adapters.web;

/**
 * What an answer that is read whole may take.
 *
 * @param timeoutMillis how long it may take until it is whole
 * @param bodyBytes the largest body
 */
public record AnswerLimits(long timeoutMillis, int bodyBytes) {

}
