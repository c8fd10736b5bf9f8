package org.pistachioline.core.quarantine;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tells requests that crash targets from those that merely ran beside one.
 */
public interface QuarantinePolicy {

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
	boolean isTrusted(String fingerprint);

	/**
	 * Notes that a target died while it ran a request.
	 * @param nowNanos the monotonic time
	 * @param fingerprint the request's fingerprint
	 * @param targetId the target
	 * @return what it means for the request
	 */
	CrashVerdict onBrokenAttempt(long nowNanos, String fingerprint, String targetId);

	/**
	 * Notes that a request ran on past the point where a target died under it.
	 * @param fingerprint the request's fingerprint
	 * @param completed whether it ran to its end
	 */
	void onRunPastCrash(String fingerprint, boolean completed);

	/**
	 * Takes over what is agreed on the log.
	 * @param nowNanos the monotonic time
	 * @param quarantined the quarantined fingerprints
	 * @param suspectTargetIds for each suspected fingerprint the target that died
	 */
	void onLogState(long nowNanos, Set<String> quarantined, Map<String, String> suspectTargetIds);

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

	/**
	 * Returns how long a request waits for its next attempt after one that broke off.
	 * @param fingerprint the request's fingerprint
	 * @return the time in nanoseconds
	 */
	default long retryDelayNanos(String fingerprint) {
		return 0;
	}

	/**
	 * Takes word that a target has died, and under what.
	 * @param nowNanos the monotonic time
	 * @param crash the target, and what it was running for this daemon
	 */
	default void onCrash(long nowNanos, TargetCrash crash) {
		// Judged by broken attempts alone.
	}

	/**
	 * Takes what another daemon told of requests under which targets died.
	 * @param nowNanos the monotonic time
	 * @param told the requests
	 */
	default void onPeerReports(long nowNanos, List<SuspectedRequest> told) {
		// Daemons share it by other means.
	}

	/**
	 * Notes that a target answered a request with a failure and lives on.
	 * @param fingerprint the request's fingerprint
	 */
	default void onErrorResponse(String fingerprint) {
		// A failure says nothing.
	}

	/**
	 * Returns what daemons that tell each other directly have quarantined.
	 * @return the fingerprints
	 */
	default Set<String> quarantined() {
		return Set.of();
	}

	/**
	 * Returns what all other daemons are to be told at once, and forgets that they are.
	 * @param nowNanos the monotonic time
	 * @return the requests
	 */
	default List<SuspectedRequest> drainBroadcast(long nowNanos) {
		return List.of();
	}

	/**
	 * Returns what the next heartbeat tells.
	 * @param nowNanos the monotonic time
	 * @return some requests
	 */
	default List<SuspectedRequest> gossipSample(long nowNanos) {
		return List.of();
	}

	/**
	 * Returns what a daemon is told that has just started.
	 * @return the requests
	 */
	default List<SuspectedRequest> knownSuspects() {
		return List.of();
	}

	/**
	 * Describes the requests under which targets died, for operators.
	 * @param nowNanos the monotonic time
	 * @return the requests
	 */
	default List<CrashReport> reports(long nowNanos) {
		return List.of();
	}

}
