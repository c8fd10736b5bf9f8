package org.pistachioline.core.quarantine;

import java.util.Map;
import java.util.Set;

/**
 * Holds no death against any request; the baseline that a killer request walks through.
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
	public void onRunPastCrash(String fingerprint, boolean completed) {
		// Nothing is held against it.
	}

	@Override
	public void onLogState(long nowNanos, Set<String> quarantined, Map<String, String> suspectTargetIds) {
		// Nothing is taken from others.
	}

	@Override
	public void onTick(long nowNanos) {
		// Nothing expires.
	}

	@Override
	public Map<String, Set<String>> suspects() {
		return Map.of();
	}

}
