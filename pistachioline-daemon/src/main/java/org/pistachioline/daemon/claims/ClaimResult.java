package org.pistachioline.daemon.claims;

import java.util.Optional;

import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.traffic.ClaimVerdict;

/**
 * The result of claiming an idempotency key.
 *
 * @param verdict the decision on the claim
 * @param claimOffset the offset of the claim on the log; -1 if it was not granted
 * @param outcome the stored outcome if the key is settled
 */
public record ClaimResult(ClaimVerdict verdict, long claimOffset, Optional<KeyOutcome> outcome) {

	/**
	 * Creates the result of a claim that was granted.
	 * @param claimOffset the offset of the claim on the log
	 * @return the result
	 */
	public static ClaimResult granted(long claimOffset) {
		return new ClaimResult(ClaimVerdict.GRANTED, claimOffset, Optional.empty());
	}

	/**
	 * Creates the result of a claim whose key already has a stored outcome.
	 * @param outcome the stored outcome
	 * @return the result
	 */
	public static ClaimResult settled(KeyOutcome outcome) {
		return new ClaimResult(ClaimVerdict.SETTLED, -1, Optional.of(outcome));
	}

	/**
	 * Creates the result of a claim that was not granted.
	 * @param verdict the decision on the claim
	 * @return the result
	 */
	public static ClaimResult of(ClaimVerdict verdict) {
		return new ClaimResult(verdict, -1, Optional.empty());
	}

}
