package org.pistachioline.core.record;

/**
 * Stores what came of a claimed request.
 *
 * @param workspace the caller's workspace
 * @param key the idempotency key, hashed
 * @param claimOffset the offset of the claim
 * @param status the target's HTTP status
 * @param contentType the answer's content type
 * @param body the answer's body, in text
 * @param unknown whether it is not known if the target ran the request
 */
public record KeyOutcome(String workspace, String key, long claimOffset, int status, String contentType, String body,
		boolean unknown) implements RecordBody {

}
