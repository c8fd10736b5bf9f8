package org.pistachioline.core.record;

/**
 * Releases a claim of a request of which nothing was sent to a target, so that the key
 * can be claimed again.
 *
 * @param workspace the caller's workspace
 * @param key the hash of the idempotency key
 * @param claimOffset the offset of the claim
 */
public record KeyRelease(String workspace, String key, long claimOffset) implements RecordBody {

}
