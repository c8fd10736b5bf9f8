package org.pistachioline.core.quarantine;

import java.util.Map;
import java.util.Set;

/**
 * Never quarantines a request. Serves as the baseline of comparisons: a request that
 * crashes targets can reach all of them.
 */
public final class NoQuarantine implements QuarantinePolicy {

	@Override
	public boolean isQuarantined(String fingerprint) {
		return false;
	}

	@Override
	public boolean isSuspect(String fingerprint) {
		return false;
	}

	@Override
	public boolean isTrusted(String fingerprint) {
		return true;
	}

	@Override
	public CrashVerdict onBrokenAttempt(long nowNanos, String fingerprint, String targetId) {
		return CrashVerdict.EXCUSED;
	}

	@Override
	public void onRunPastCrash(long nowNanos, String fingerprint, boolean completed) {
		// There are no suspects to clear.
	}

	@Override
	public void onLogState(long nowNanos, Set<String> quarantined, Map<String, String> suspectTargetIds) {
		// The log is ignored.
	}

	@Override
	public void onTick(long nowNanos) {
		// There is no state to expire.
	}

	@Override
	public Map<String, Set<String>> suspects() {
		return Map.of();
	}

}
