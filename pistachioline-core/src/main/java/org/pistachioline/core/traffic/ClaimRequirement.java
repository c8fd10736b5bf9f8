package org.pistachioline.core.traffic;

/**
 * The claim on an idempotency key that a non-idempotent request must hold before it is
 * dispatched.
 *
 * @param keyHash the hash of the idempotency key; empty if no claim is required
 * @param requestDigest the digest of the request, which detects a key that is reused for
 * another request
 * @param lifetimeMillis how long the key is remembered
 * @param runBoundMillis the age at which a claim without an outcome counts as unknown; it
 * exceeds the time that the service may take, so the claimer must have failed by then
 */
public record ClaimRequirement(String keyHash, String requestDigest, long lifetimeMillis, long runBoundMillis) {

	private static final long DEFAULT_RUN_BOUND_MILLIS = 60_000;

	/** No claim is required. */
	public static final ClaimRequirement NONE = new ClaimRequirement("", "", 0);

	/**
	 * Creates a requirement with the default run bound, for services whose duration is
	 * not known.
	 * @param keyHash the hash of the idempotency key
	 * @param requestDigest the digest of the request
	 * @param lifetimeMillis how long the key is remembered
	 */
	public ClaimRequirement(String keyHash, String requestDigest, long lifetimeMillis) {
		this(keyHash, requestDigest, lifetimeMillis, DEFAULT_RUN_BOUND_MILLIS);
	}

	/**
	 * Returns whether a claim is required.
	 * @return whether there is a key
	 */
	public boolean isRequired() {
		return !this.keyHash.isEmpty();
	}

}
