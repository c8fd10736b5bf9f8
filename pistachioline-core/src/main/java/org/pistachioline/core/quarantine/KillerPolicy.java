package org.pistachioline.core.quarantine;

import java.util.Set;

/**
 * Tells requests that crash targets from those that merely ran beside one.
 */
public interface KillerPolicy {

	/**
	 * Returns whether a request is barred.
	 * @param fingerprint the request's fingerprint
	 * @return whether it is
	 */
	boolean isQuarantined(String fingerprint);

	/**
	 * Notes that a target died while it ran a request.
	 * @param nowNanos the monotonic time
	 * @param fingerprint the request's fingerprint
	 * @param targetId the target
	 * @return whether the request is barred from now on
	 */
	boolean onDeath(long nowNanos, String fingerprint, String targetId);

	/**
	 * Takes over the barred requests that are agreed on the log.
	 * @param fingerprints the barred fingerprints
	 */
	void onAgreed(Set<String> fingerprints);

}
