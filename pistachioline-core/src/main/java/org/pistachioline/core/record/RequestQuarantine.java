package org.pistachioline.core.record;

/**
 * Bars a request that crashes targets on all daemons.
 *
 * @param fingerprint the request's fingerprint
 * @param expiresAtMillis when the bar ends, by the wall clock
 * @param reason why, for operators to read
 */
public record RequestQuarantine(String fingerprint, long expiresAtMillis, String reason) implements RecordBody {

}
