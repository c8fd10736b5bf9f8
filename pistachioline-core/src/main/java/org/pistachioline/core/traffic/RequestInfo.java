package org.pistachioline.core.traffic;

import java.util.List;

/**
 * The properties of a request on which traffic decisions are based. It holds neither the
 * request's text nor its idempotency key.
 *
 * @param requestId the id that this daemon assigned to it
 * @param workspace the caller's workspace
 * @param targetKind whether it is for a model or for a plain service
 * @param name the model's or the service's name
 * @param promptTokens the estimated length of the prompt, in tokens
 * @param maxOutputTokens the maximum number of tokens that it may generate
 * @param priority its priority within its workspace; higher numbers go first
 * @param firstTokenDeadlineNanos when its first token is due, by the monotonic clock
 * @param totalDeadlineNanos when it must have ended, by the monotonic clock
 * @param idempotent whether it may be sent again
 * @param claim the claim that it requires; {@link ClaimRequirement#NONE} if it is
 * idempotent
 * @param fingerprint the request's fingerprint
 * @param prefixHashes hashes of the prompt's prefixes of increasing length, the shortest
 * first
 * @param maxAttempts the maximum number of targets that it may be sent to
 * @param softDeadlineNanos until when its first token counts as on time, by the monotonic
 * clock; a later one is still useful to the caller up to the first-token deadline
 * @param sharedPromptParts the ids of the parts of its prompt that other requests may
 * share
 * @param maxOutputEvents the maximum number of events that it may generate as a stream; 0
 * if it is not limited
 */
public record RequestInfo(long requestId, String workspace, TargetKind targetKind, String name, int promptTokens,
		int maxOutputTokens, int priority, long firstTokenDeadlineNanos, long totalDeadlineNanos, boolean idempotent,
		ClaimRequirement claim, String fingerprint, List<Long> prefixHashes, int maxAttempts, long softDeadlineNanos,
		List<String> sharedPromptParts, int maxOutputEvents) {

	/**
	 * The limit of attempts if the operator configures none. It bounds the cost of
	 * repeated prefills when one group after another drains or crashes.
	 */
	public static final int DEFAULT_MAX_ATTEMPTS = 6;

	public RequestInfo {
		prefixHashes = List.copyOf(prefixHashes);
		sharedPromptParts = List.copyOf(sharedPromptParts);
	}

	/**
	 * Creates a request whose prompt has no parts that are known and each of whose tokens
	 * may be an event of its own.
	 * @param requestId the id that this daemon assigned to it
	 * @param workspace the caller's workspace
	 * @param targetKind whether it is for a model or for a plain service
	 * @param name the model's or the service's name
	 * @param promptTokens the estimated length of the prompt, in tokens
	 * @param maxOutputTokens the maximum number of tokens that it may generate
	 * @param priority its priority within its workspace; higher numbers go first
	 * @param firstTokenDeadlineNanos when its first token is due
	 * @param totalDeadlineNanos when it must have ended
	 * @param idempotent whether it may be sent again
	 * @param claim the claim that it requires
	 * @param fingerprint the request's fingerprint
	 * @param prefixHashes hashes of the prompt's prefixes of increasing length
	 * @param maxAttempts the maximum number of targets that it may be sent to
	 * @param softDeadlineNanos until when its first token counts as on time
	 */
	public RequestInfo(long requestId, String workspace, TargetKind targetKind, String name, int promptTokens,
			int maxOutputTokens, int priority, long firstTokenDeadlineNanos, long totalDeadlineNanos,
			boolean idempotent, ClaimRequirement claim, String fingerprint, List<Long> prefixHashes, int maxAttempts,
			long softDeadlineNanos) {
		this(requestId, workspace, targetKind, name, promptTokens, maxOutputTokens, priority, firstTokenDeadlineNanos,
				totalDeadlineNanos, idempotent, claim, fingerprint, prefixHashes, maxAttempts, softDeadlineNanos,
				List.of(), maxOutputTokens);
	}

	/**
	 * Creates a request with the default limit of attempts and without a soft deadline of
	 * its own.
	 * @param requestId the id that this daemon assigned to it
	 * @param workspace the caller's workspace
	 * @param targetKind whether it is for a model or for a plain service
	 * @param name the model's or the service's name
	 * @param promptTokens the estimated length of the prompt, in tokens
	 * @param maxOutputTokens the maximum number of tokens that it may generate
	 * @param priority its priority within its workspace; higher numbers go first
	 * @param firstTokenDeadlineNanos when its first token is due
	 * @param totalDeadlineNanos when it must have ended
	 * @param idempotent whether it may be sent again
	 * @param claim the claim that it requires
	 * @param fingerprint the request's fingerprint
	 * @param prefixHashes hashes of the prompt's prefixes of increasing length, the
	 * shortest first
	 */
	public RequestInfo(long requestId, String workspace, TargetKind targetKind, String name, int promptTokens,
			int maxOutputTokens, int priority, long firstTokenDeadlineNanos, long totalDeadlineNanos,
			boolean idempotent, ClaimRequirement claim, String fingerprint, List<Long> prefixHashes) {
		this(requestId, workspace, targetKind, name, promptTokens, maxOutputTokens, priority, firstTokenDeadlineNanos,
				totalDeadlineNanos, idempotent, claim, fingerprint, prefixHashes, DEFAULT_MAX_ATTEMPTS,
				firstTokenDeadlineNanos);
	}

	/**
	 * Creates a request that stands for another daemon's request for a claim and is never
	 * dispatched.
	 * @param workspace the caller's workspace
	 * @param claim the claim
	 * @return the request, with only the properties that a claim requires
	 */
	public static RequestInfo forClaim(String workspace, ClaimRequirement claim) {
		return new RequestInfo(0, workspace, TargetKind.SERVICE, "", 0, 0, 0, 0, 0, false, claim, "", List.of());
	}

	/**
	 * Returns a copy of this request with another soft deadline.
	 * @param newSoftDeadlineNanos until when its first token counts as on time
	 * @return the copy
	 */
	public RequestInfo withSoftDeadlineNanos(long newSoftDeadlineNanos) {
		return new RequestInfo(this.requestId, this.workspace, this.targetKind, this.name, this.promptTokens,
				this.maxOutputTokens, this.priority, this.firstTokenDeadlineNanos, this.totalDeadlineNanos,
				this.idempotent, this.claim, this.fingerprint, this.prefixHashes, this.maxAttempts,
				newSoftDeadlineNanos, this.sharedPromptParts, this.maxOutputEvents);
	}

	/**
	 * Returns the number of tokens that the request counts for while it is in flight.
	 * @return the prompt tokens and the maximum output tokens together
	 */
	public long costTokens() {
		return (long) this.promptTokens + this.maxOutputTokens;
	}

}
