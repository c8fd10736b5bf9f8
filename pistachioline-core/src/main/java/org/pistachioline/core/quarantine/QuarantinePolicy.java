package org.pistachioline.core.quarantine;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Distinguishes requests that crash targets from those that merely ran on a target that
 * crashed.
 */
public interface QuarantinePolicy {

	/**
	 * Returns whether a request must not be sent to any target.
	 * @param fingerprint the request's fingerprint
	 * @return true if the request is quarantined
	 */
	boolean isQuarantined(String fingerprint);

	/**
	 * Returns whether a request must not be sent to any target, also because of a part of
	 * its prompt.
	 * @param fingerprint the request's fingerprint
	 * @param promptParts the parts of its prompt that other requests may share
	 * @return true if the request or a part is quarantined
	 */
	default boolean isQuarantined(String fingerprint, List<String> promptParts) {
		return quarantinedBy(fingerprint, promptParts).isPresent();
	}

	/**
	 * Returns what a request is quarantined by.
	 * @param fingerprint the request's fingerprint
	 * @param promptParts the parts of its prompt that other requests may share
	 * @return whether the request itself or a part is quarantined; empty if neither is
	 */
	default Optional<SuspectKind> quarantinedBy(String fingerprint, List<String> promptParts) {
		return isQuarantined(fingerprint) ? Optional.of(SuspectKind.REQUEST) : Optional.empty();
	}

	/**
	 * Returns whether a request is to run isolated from other suspects, because a target
	 * may have crashed under it and it has not been cleared since.
	 * @param fingerprint the request's fingerprint
	 * @return true if the request is a suspect
	 */
	boolean isSuspect(String fingerprint);

	/**
	 * Returns whether copies of a request may run on several targets at once, because it
	 * has completed before.
	 * @param fingerprint the request's fingerprint
	 * @return true if the request is trusted
	 */
	boolean isTrusted(String fingerprint);

	/**
	 * Records that an attempt broke off, which may be due to a crash of its target.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param fingerprint the request's fingerprint
	 * @param targetId the target of the attempt
	 * @return the consequence for the request
	 */
	CrashVerdict onBrokenAttempt(long nowNanos, String fingerprint, String targetId);

	/**
	 * Records that a request ran past the point at which a target crashed under it.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param fingerprint the request's fingerprint
	 * @param completed whether it ran to completion
	 */
	void onRunPastCrash(long nowNanos, String fingerprint, boolean completed);

	/**
	 * Applies the suspects and quarantines that the daemons agreed on through the
	 * replicated log.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param quarantined the fingerprints of all quarantined requests
	 * @param suspectTargetIds the target that crashed, by the suspect's fingerprint
	 */
	void onLogState(long nowNanos, Set<String> quarantined, Map<String, String> suspectTargetIds);

	/**
	 * Expires suspicions and quarantines.
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	void onTick(long nowNanos);

	/**
	 * Returns the suspects, as shown to operators.
	 * @return the targets that crashed, by the suspect's fingerprint
	 */
	Map<String, Set<String>> suspects();

	/**
	 * Returns how long to wait after a broken attempt before the request is sent again.
	 * @param fingerprint the request's fingerprint
	 * @param promptParts the parts of its prompt that other requests may share
	 * @return the delay in nanoseconds
	 */
	default long retryDelayNanos(String fingerprint, List<String> promptParts) {
		return 0;
	}

	/**
	 * Returns how long a request must not be sent to any target yet, because targets have
	 * just crashed under it or a part of its prompt.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param fingerprint the request's fingerprint
	 * @param promptParts the parts of its prompt that other requests may share
	 * @return the time in nanoseconds; 0 if it may be sent
	 */
	default long holdNanos(long nowNanos, String fingerprint, List<String> promptParts) {
		return 0;
	}

	/**
	 * Records a confirmed crash of a target.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param crash the target and the requests of this daemon that it was running
	 */
	default void onCrash(long nowNanos, TargetCrash crash) {
		// The default relies on broken attempts only.
	}

	/**
	 * Records that a target got past the starting phase of an answer.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param promptParts the parts of the request's prompt that other requests may share
	 */
	default void onAnswer(long nowNanos, List<String> promptParts) {
		// The default holds nothing against parts of prompts.
	}

	/**
	 * Merges crash evidence received from another daemon.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param suspects the requests with their evidence
	 */
	default void onPeerReports(long nowNanos, List<SuspectedRequest> suspects) {
		// The default does not exchange evidence directly between daemons.
	}

	/**
	 * Records that a target answered a request with an error and kept running.
	 * @param fingerprint the request's fingerprint
	 */
	default void onErrorResponse(String fingerprint) {
		// The default draws no conclusion from an error.
	}

	/**
	 * Returns the requests and parts of prompts that are quarantined on evidence that
	 * daemons exchange directly.
	 * @return the fingerprints and ids
	 */
	default Set<String> quarantined() {
		return Set.of();
	}

	/**
	 * Returns and clears the evidence to be broadcast to all other daemons at once.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the requests with their evidence
	 */
	default List<SuspectedRequest> drainBroadcast(long nowNanos) {
		return List.of();
	}

	/**
	 * Selects the evidence to be sent with the next heartbeat.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the requests with their evidence
	 */
	default List<SuspectedRequest> gossipSample(long nowNanos) {
		return List.of();
	}

	/**
	 * Returns the evidence to send to a daemon that has just started.
	 * @return the requests with their evidence
	 */
	default List<SuspectedRequest> knownSuspects() {
		return List.of();
	}

	/**
	 * Returns the requests with crash evidence, as shown to operators.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the reports
	 */
	default List<CrashReport> reports(long nowNanos) {
		return List.of();
	}

}
