package org.pistachioline.core.presence;

/**
 * The times of probing.
 *
 * @param probeIntervalNanos the time between two questions to one member, and between two
 * questions to one daemon
 * @param maxProofAgeNanos the age at which a proof no longer counts
 */
public record PresenceLimits(long probeIntervalNanos, long maxProofAgeNanos) {

	/** The share of the bound at which the daemon that stands by begins to probe. */
	private static final double STANDBY_RATIO = 0.5;

	/** The share of the bound at which any server that hears nothing begins to probe. */
	private static final double FALLBACK_RATIO = 0.7;

	/**
	 * Returns the age of a proof at which the daemon that stands by begins to probe: late
	 * enough that a slow round does not double all probes, and early enough that its own
	 * round ends within the bound.
	 * @return the age
	 */
	public long standbyDelayNanos() {
		return (long) (this.maxProofAgeNanos * STANDBY_RATIO);
	}

	/**
	 * Returns the silence after which any server begins to probe. It is longer than the
	 * stand-by's, so that the second prober's news comes first and a lost prober does not
	 * turn every server into one.
	 * @return the silence
	 */
	public long fallbackDelayNanos() {
		return (long) (this.maxProofAgeNanos * FALLBACK_RATIO);
	}

}
