package org.pistachioline.daemon.claims;

import java.util.concurrent.CompletableFuture;

import org.pistachioline.core.traffic.RequestInfo;

/**
 * Makes, releases and settles claims of idempotency keys, so that a request with a key is
 * run at most once.
 */
public interface Claims {

	/**
	 * Claims a request's key.
	 * @param info the request
	 * @return the result of the claim; never completes exceptionally
	 */
	CompletableFuture<ClaimResult> claim(RequestInfo info);

	/**
	 * Releases a claim if no attempt was sent to a target, so that the key can be claimed
	 * again.
	 * @param info the request
	 * @param claimOffset the offset of the claim on the log
	 * @return completes when the release is on the log
	 */
	CompletableFuture<Void> release(RequestInfo info, long claimOffset);

	/**
	 * Stores the outcome of a claimed request.
	 * @param info the request
	 * @param claimOffset the offset of the claim on the log
	 * @param status the HTTP status of the target's response
	 * @param contentType the content type of the response
	 * @param body the body of the response
	 * @param unknown whether it is unknown if the target ran the request
	 * @return completes when the outcome is on the log
	 */
	CompletableFuture<Void> settle(RequestInfo info, long claimOffset, int status, String contentType, String body,
			boolean unknown);

}
