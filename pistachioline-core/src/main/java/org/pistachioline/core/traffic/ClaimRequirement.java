package org.pistachioline.core.traffic;

/**
 * The claim that a non-idempotent request needs before it is dispatched.
 *
 * @param keyHash the hash of the idempotency key; empty where no claim is needed
 * @param requestDigest the digest of the request, to tell a reused key
 * @param lifetimeMillis how long the key is remembered
 * @param runBoundMillis after how long a claim without an outcome counts as unknown; past
 * the time that the service may take, so that its claimer must have gone
 */
public record ClaimRequirement(String keyHash, String requestDigest, long lifetimeMillis, long runBoundMillis) {

	private static final long DEFAULT_RUN_BOUND_MILLIS = 60_000;

	/** No claim is needed. */
	public static final ClaimRequirement NONE = new ClaimRequirement("", "", 0);

	/**
	 * Creates a need with a bound for services of unknown duration.
	 * @param keyHash the hash of the idempotency key
	 * @param requestDigest the digest of the request
	 * @param lifetimeMillis how long the key is remembered
	 */
	public ClaimRequirement(String keyHash, String requestDigest, long lifetimeMillis) {
		this(keyHash, requestDigest, lifetimeMillis, DEFAULT_RUN_BOUND_MILLIS);
	}

	/**
	 * Returns whether a claim is needed.
	 * @return whether there is a key
	 */
	public boolean isRequired() {
		return !this.keyHash.isEmpty();
	}

}
