package org.pistachioline.core.record;

/**
 * Claims the right to run the one request with an idempotency key.
 *
 * @param workspace the caller's workspace
 * @param key the idempotency key, hashed
 * @param requestDigest the request's digest, to tell a reused key
 * @param claimedAtMillis when it was claimed, by the wall clock
 * @param expiresAtMillis when the key expires, by the wall clock
 */
public record KeyClaim(String workspace, String key, String requestDigest, long claimedAtMillis,
		long expiresAtMillis) implements RecordBody {

}
