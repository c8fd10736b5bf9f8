package org.pistachioline.core.claims;

import java.util.Optional;

import org.pistachioline.core.record.KeyClaim;
import org.pistachioline.core.record.KeyOutcome;

/**
 * One claimed key.
 *
 * @param claim the claim
 * @param claimOffset its offset
 * @param writer who claimed it
 * @param outcome what came of it, once that is known
 */
public record ClaimEntry(KeyClaim claim, long claimOffset, String writer, Optional<KeyOutcome> outcome) {

	/**
	 * Returns until when the entry is kept: twice the key's lifetime, so that for as long
	 * again as a caller may repeat it, a late repeat is told that the key has expired and
	 * is not run as a new request.
	 * @return the end, by the claimer's wall clock
	 */
	public long retainedUntilMillis() {
		final long lifetimeMillis = Math.max(0, this.claim.expiresAtMillis() - this.claim.claimedAtMillis());
		return this.claim.expiresAtMillis() + lifetimeMillis;
	}

	/**
	 * Returns how much of the answer is stored.
	 * @return the length of the stored body
	 */
	public int storedBytes() {
		return this.outcome.map((stored) -> stored.body().length()).orElse(0);
	}

}
