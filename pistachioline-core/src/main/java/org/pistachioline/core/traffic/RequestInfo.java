package org.pistachioline.core.traffic;

import java.util.List;

/**
 * What the decisions know of a request; never its text or its key.
 *
 * @param requestId the id that this daemon gave it
 * @param workspace the caller's workspace
 * @param targetKind whether it goes to a model or to a plain service
 * @param name the model's or the service's name
 * @param promptTokens the estimated length of the prompt, in tokens
 * @param maxOutputTokens the most tokens that it may generate
 * @param priority a higher number goes first within its workspace
 * @param firstTokenDeadlineNanos when its first token is due, by the monotonic clock
 * @param totalDeadlineNanos when it must have ended, by the monotonic clock
 * @param idempotent whether it may be sent again
 * @param claim the claim that it needs; {@link ClaimRequirement#NONE} where it is
 * idempotent
 * @param fingerprint the request's fingerprint
 * @param prefixHashes hashes of the prompt's growing prefixes, the shortest first
 * @param maxAttempts how many targets it may be sent to in all
 * @param softDeadlineNanos until when its first token is on time for its caller, by the
 * monotonic clock; after that it is still of some use up to its deadline
 */
public record RequestInfo(long requestId, String workspace, TargetKind targetKind, String name, int promptTokens,
		int maxOutputTokens, int priority, long firstTokenDeadlineNanos, long totalDeadlineNanos, boolean idempotent,
		ClaimRequirement claim, String fingerprint, List<Long> prefixHashes, int maxAttempts, long softDeadlineNanos) {

	/**
	 * Bounds the prefill that is paid again when group after group drains or dies, where
	 * the operator states no bound.
	 */
	public static final int DEFAULT_MAX_ATTEMPTS = 6;

	public RequestInfo {
		prefixHashes = List.copyOf(prefixHashes);
	}

	/**
	 * Describes a request for which the operator states no bound on attempts, and no time
	 * other than its deadline.
	 * @param requestId the id that this daemon gave it
	 * @param workspace the caller's workspace
	 * @param targetKind whether it goes to a model or to a plain service
	 * @param name the model's or the service's name
	 * @param promptTokens the estimated length of the prompt, in tokens
	 * @param maxOutputTokens the most tokens that it may generate
	 * @param priority a higher number goes first within its workspace
	 * @param firstTokenDeadlineNanos when its first token is due
	 * @param totalDeadlineNanos when it must have ended
	 * @param idempotent whether it may be sent again
	 * @param claim the claim that it needs
	 * @param fingerprint the request's fingerprint
	 * @param prefixHashes hashes of the prompt's growing prefixes, the shortest first
	 */
	public RequestInfo(long requestId, String workspace, TargetKind targetKind, String name, int promptTokens,
			int maxOutputTokens, int priority, long firstTokenDeadlineNanos, long totalDeadlineNanos,
			boolean idempotent, ClaimRequirement claim, String fingerprint, List<Long> prefixHashes) {
		this(requestId, workspace, targetKind, name, promptTokens, maxOutputTokens, priority, firstTokenDeadlineNanos,
				totalDeadlineNanos, idempotent, claim, fingerprint, prefixHashes, DEFAULT_MAX_ATTEMPTS,
				firstTokenDeadlineNanos);
	}

	/**
	 * Describes a request of another daemon that only asks for a claim.
	 * @param workspace the caller's workspace
	 * @param claim the claim
	 * @return the request, as far as a claim needs it
	 */
	public static RequestInfo forClaim(String workspace, ClaimRequirement claim) {
		return new RequestInfo(0, workspace, TargetKind.SERVICE, "", 0, 0, 0, 0, 0, false, claim, "", List.of());
	}

	/**
	 * Returns the tokens for which the request counts while it is in flight.
	 * @return prompt and output together
	 */
	public long costTokens() {
		return (long) this.promptTokens + this.maxOutputTokens;
	}

}
