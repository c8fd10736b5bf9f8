package org.pistachioline.daemon.claims;

import org.pistachioline.core.traffic.ClaimVerdict;

/**
 * What came of a claim.
 *
 * @param verdict the verdict
 * @param claimOffset the claim's offset; -1 where it was not granted
 */
public record ClaimResult(ClaimVerdict verdict, long claimOffset) {

	/**
	 * Creates the result of a claim that was not granted.
	 * @param verdict the verdict
	 * @return the result
	 */
	public static ClaimResult of(ClaimVerdict verdict) {
		return new ClaimResult(verdict, -1);
	}

}
