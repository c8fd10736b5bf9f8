package org.pistachioline.core.presence;

/**
 * Time limits of probes and proofs.
 *
 * @param probeIntervalNanos the time between two probes of one member, and between two
 * requests to one daemon
 * @param maxProofAgeNanos the age at which a proof expires
 */
public record PresenceLimits(long probeIntervalNanos, long maxProofAgeNanos) {

	/** The share of the maximum proof age after which the standby starts to probe. */
	private static final double STANDBY_RATIO = 0.5;

	/**
	 * The share of the maximum proof age after which any server without updates starts to
	 * probe.
	 */
	private static final double FALLBACK_RATIO = 0.7;

	/**
	 * Returns the age of a proof at which the standby starts to probe: late enough that a
	 * slow round of probes does not double all of them, and early enough that its own
	 * round ends before the proof expires.
	 * @return the age
	 */
	public long standbyDelayNanos() {
		return (long) (this.maxProofAgeNanos * STANDBY_RATIO);
	}

	/**
	 * Returns the time without updates after which any server starts to probe. It is
	 * longer than the delay of the standby, so that updates from the second prober arrive
	 * first and the failure of the prober does not make every server probe.
	 * @return the time without updates
	 */
	public long fallbackDelayNanos() {
		return (long) (this.maxProofAgeNanos * FALLBACK_RATIO);
	}

}
