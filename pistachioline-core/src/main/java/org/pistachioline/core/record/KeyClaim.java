package org.pistachioline.core.record;

/**
 * Claims an idempotency key, which gives its writer the exclusive right to run the
 * request.
 *
 * @param workspace the caller's workspace
 * @param key the hash of the idempotency key
 * @param requestDigest the digest of the request, which detects a key that is reused for
 * another request
 * @param claimedAtMillis the wall-clock time of the claim
 * @param expiresAtMillis the wall-clock time at which the key expires
 */
public record KeyClaim(String workspace, String key, String requestDigest, long claimedAtMillis,
		long expiresAtMillis) implements RecordBody {

}
