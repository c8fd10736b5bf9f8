package org.pistachioline.core.quarantine;

import java.util.Map;
import java.util.Set;

/**
 * Tells requests that crash targets from those that merely ran beside one.
 */
public interface KillerPolicy {

	/**
	 * Returns whether a request is quarantined.
	 * @param fingerprint the request's fingerprint
	 * @return whether it is
	 */
	boolean isQuarantined(String fingerprint);

	/**
	 * Returns whether a target died under a request and nothing speaks for it yet.
	 * @param fingerprint the request's fingerprint
	 * @return whether it is suspect
	 */
	boolean isSuspect(String fingerprint);

	/**
	 * Returns whether a request completed before, so that its copies may run anywhere.
	 * @param fingerprint the request's fingerprint
	 * @return whether it is proven
	 */
	boolean isProven(String fingerprint);

	/**
	 * Notes that a target died while it ran a request.
	 * @param nowNanos the monotonic time
	 * @param fingerprint the request's fingerprint
	 * @param targetId the target
	 * @return what it means for the request
	 */
	DeathVerdict onDeath(long nowNanos, String fingerprint, String targetId);

	/**
	 * Notes that a request ran on past the point where a target died under it.
	 * @param fingerprint the request's fingerprint
	 * @param completed whether it ran to its end
	 */
	void onSurvived(String fingerprint, boolean completed);

	/**
	 * Takes over what is agreed on the log.
	 * @param nowNanos the monotonic time
	 * @param quarantined the quarantined fingerprints
	 * @param suspectTargetIds for each suspected fingerprint the target that died
	 */
	void onAgreed(long nowNanos, Set<String> quarantined, Map<String, String> suspectTargetIds);

	/**
	 * Lets suspicions expire.
	 * @param nowNanos the monotonic time
	 */
	void onTick(long nowNanos);

	/**
	 * Returns the suspects for operators to read.
	 * @return for each suspected fingerprint the targets that died
	 */
	Map<String, Set<String>> suspects();

}
