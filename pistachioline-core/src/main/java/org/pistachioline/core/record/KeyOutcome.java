package org.pistachioline.core.record;

/**
 * Stores the outcome of a request that ran under a claim, so that repeats get the same
 * response.
 *
 * @param workspace the caller's workspace
 * @param key the hash of the idempotency key
 * @param claimOffset the offset of the claim
 * @param status the HTTP status of the target's response
 * @param contentType the content type of the response
 * @param body the body of the response as text
 * @param unknown whether the outcome is unknown, so that the request may or may not have
 * run
 */
public record KeyOutcome(String workspace, String key, long claimOffset, int status, String contentType, String body,
		boolean unknown) implements RecordBody {

}
