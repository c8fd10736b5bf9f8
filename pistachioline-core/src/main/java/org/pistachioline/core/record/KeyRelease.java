package org.pistachioline.core.record;

/**
 * Gives back a claim under which no byte was sent.
 *
 * @param workspace the caller's workspace
 * @param key the idempotency key, hashed
 * @param claimOffset the offset of the claim
 */
public record KeyRelease(String workspace, String key, long claimOffset) implements RecordBody {

}
