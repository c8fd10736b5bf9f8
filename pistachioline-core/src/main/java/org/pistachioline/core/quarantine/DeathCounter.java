package org.pistachioline.core.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Bars a request after two targets died under it.
 */
public final class DeathCounter implements KillerPolicy {

	private static final int DEATHS_TO_BAR = 2;

	private final Map<String, Set<String>> deaths = new HashMap<>();

	private final Set<String> barred = new HashSet<>();

	private Set<String> agreed = Set.of();

	@Override
	public boolean isQuarantined(String fingerprint) {
		return this.barred.contains(fingerprint) || this.agreed.contains(fingerprint);
	}

	@Override
	public boolean onDeath(long nowNanos, String fingerprint, String targetId) {
		final Set<String> targets = this.deaths.computeIfAbsent(fingerprint, (key) -> new HashSet<>());
		targets.add(targetId);
		if (targets.size() < DEATHS_TO_BAR) {
			return false;
		}
		this.deaths.remove(fingerprint);
		this.barred.add(fingerprint);
		return true;
	}

	@Override
	public void onAgreed(Set<String> fingerprints) {
		this.agreed = Set.copyOf(fingerprints);
	}

}
