package org.pistachioline.daemon.claims;

import java.util.Optional;

import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.traffic.ClaimVerdict;

/**
 * What came of a claim.
 *
 * @param verdict the verdict
 * @param claimOffset the claim's offset; -1 where it was not granted
 * @param outcome the stored outcome, where the key is settled
 */
public record ClaimResult(ClaimVerdict verdict, long claimOffset, Optional<KeyOutcome> outcome) {

	/**
	 * Creates the result of a claim that was granted.
	 * @param claimOffset the claim's offset
	 * @return the result
	 */
	public static ClaimResult granted(long claimOffset) {
		return new ClaimResult(ClaimVerdict.GRANTED, claimOffset, Optional.empty());
	}

	/**
	 * Creates the result of a claim whose key has an outcome.
	 * @param outcome the outcome
	 * @return the result
	 */
	public static ClaimResult settled(KeyOutcome outcome) {
		return new ClaimResult(ClaimVerdict.SETTLED, -1, Optional.of(outcome));
	}

	/**
	 * Creates the result of a claim that was not granted.
	 * @param verdict the verdict
	 * @return the result
	 */
	public static ClaimResult of(ClaimVerdict verdict) {
		return new ClaimResult(verdict, -1, Optional.empty());
	}

}
