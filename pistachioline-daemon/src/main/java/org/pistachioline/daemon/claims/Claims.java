package org.pistachioline.daemon.claims;

import java.util.concurrent.CompletableFuture;

import org.pistachioline.core.traffic.RequestInfo;

/**
 * Makes, releases and settles claims of idempotency keys.
 */
public interface Claims {

	/**
	 * Claims a request's key.
	 * @param info the request
	 * @return the claim's result; it never fails
	 */
	CompletableFuture<ClaimResult> claim(RequestInfo info);

	/**
	 * Gives back a claim under which nothing was sent.
	 * @param info the request
	 * @param claimOffset the claim's offset
	 * @return completes when the release stands on the log
	 */
	CompletableFuture<Void> release(RequestInfo info, long claimOffset);

	/**
	 * Stores what came of a claimed request.
	 * @param info the request
	 * @param claimOffset the claim's offset
	 * @param status the target's HTTP status
	 * @param contentType the answer's content type
	 * @param body the answer's body
	 * @param unknown whether it is not known if the target ran the request
	 * @return completes when the outcome stands on the log
	 */
	CompletableFuture<Void> settle(RequestInfo info, long claimOffset, int status, String contentType, String body,
			boolean unknown);

}
