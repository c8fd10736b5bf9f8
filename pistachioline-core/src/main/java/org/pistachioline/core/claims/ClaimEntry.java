package org.pistachioline.core.claims;

import java.util.Optional;

import org.pistachioline.core.record.KeyClaim;
import org.pistachioline.core.record.KeyOutcome;

/**
 * The claim of one idempotency key, with its outcome.
 *
 * @param claim the claim
 * @param claimOffset the offset of the claim in the log
 * @param writer the log writer that claimed the key
 * @param outcome the outcome of the request, once it is known
 */
public record ClaimEntry(KeyClaim claim, long claimOffset, String writer, Optional<KeyOutcome> outcome) {

	/**
	 * Returns how long the entry is retained: for twice the key's lifetime. A retry that
	 * arrives within one lifetime after the key has expired is thus refused as expired
	 * and not run as a new request.
	 * @return the end of the retention, by the claimer's wall clock
	 */
	public long retainedUntilMillis() {
		final long lifetimeMillis = Math.max(0, this.claim.expiresAtMillis() - this.claim.claimedAtMillis());
		return this.claim.expiresAtMillis() + lifetimeMillis;
	}

	/**
	 * Returns the size of the stored response.
	 * @return the length of the stored body; 0 if there is none
	 */
	public int storedBytes() {
		return this.outcome.map((stored) -> stored.body().length()).orElse(0);
	}

}
