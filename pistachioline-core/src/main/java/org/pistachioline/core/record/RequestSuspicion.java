package org.pistachioline.core.record;

/**
 * Reports that a replica group died while it ran a request.
 *
 * @param fingerprint the request's fingerprint
 * @param groupId the group that died
 * @param groupEpoch the group's epoch
 * @param expiresAtMillis when the suspicion ends, by the wall clock
 */
public record RequestSuspicion(String fingerprint, String groupId, long groupEpoch,
		long expiresAtMillis) implements RecordBody {

}
