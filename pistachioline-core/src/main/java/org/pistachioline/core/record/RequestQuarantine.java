package org.pistachioline.core.record;

/**
 * Quarantines a request that crashes targets: all daemons reject it until the quarantine
 * expires.
 *
 * @param fingerprint the fingerprint of the request
 * @param expiresAtMillis the wall-clock time at which the quarantine expires
 * @param reason why the request is quarantined, for operators
 */
public record RequestQuarantine(String fingerprint, long expiresAtMillis, String reason) implements RecordBody {

}
