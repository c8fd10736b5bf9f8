package org.pistachioline.core.record;

/**
 * Reports that a replica group crashed while it ran a request.
 *
 * @param fingerprint the fingerprint of the request
 * @param groupId the id of the crashed group
 * @param groupEpoch the epoch of the crashed group
 * @param expiresAtMillis the wall-clock time at which the suspicion expires
 */
public record RequestSuspicion(String fingerprint, String groupId, long groupEpoch,
		long expiresAtMillis) implements RecordBody {

}
