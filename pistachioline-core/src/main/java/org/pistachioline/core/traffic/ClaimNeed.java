package org.pistachioline.core.traffic;

/**
 * The claim that a non-idempotent request needs before it is dispatched.
 *
 * @param keyHash the hash of the idempotency key; empty where no claim is needed
 * @param requestDigest the digest of the request, to tell a reused key
 * @param lifetimeMillis how long the key is remembered
 */
public record ClaimNeed(String keyHash, String requestDigest, long lifetimeMillis) {

	/** No claim is needed. */
	public static final ClaimNeed NONE = new ClaimNeed("", "", 0);

	/**
	 * Returns whether a claim is needed.
	 * @return whether there is a key
	 */
	public boolean isNeeded() {
		return !this.keyHash.isEmpty();
	}

}
