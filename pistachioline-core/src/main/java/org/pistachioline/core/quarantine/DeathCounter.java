package org.pistachioline.core.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Quarantines a request after two different targets died under it.
 * <p>
 * Made for one request that crashes each target that runs it, and whose caller sends it
 * again. Without it every repeat takes a group of many instances away from all callers,
 * until none is left. One death names a suspect and not a culprit, since all requests of
 * the batch see the same death; so a suspect runs once more, apart from other suspects,
 * and only the death of a second target condemns it. Once a culprit is found, the others
 * that were suspected for the same targets are free.
 * <p>
 * The limits: {@value #MOST_QUARANTINES} quarantines at a time, since a rolling outage
 * kills targets under innocents, and a cap keeps it from barring everybody's requests;
 * each earlier completion excuses one death, up to {@value #MOST_CREDITS}, so that a
 * popular prompt which runs on all groups of a rack is not barred with the rack.
 */
public final class DeathCounter implements KillerPolicy {

	/** How long a suspicion or a quarantine lasts, in minutes. */
	public static final long LIFETIME_MINUTES = 10;

	private static final long LIFETIME_NANOS = LIFETIME_MINUTES * 60 * 1_000_000_000L;

	/** How many requests may be quarantined at a time, here and on the log. */
	public static final int MOST_QUARANTINES = 64;

	private static final int MOST_CREDITS = 8;

	private static final int MOST_SUSPECTS = 4096;

	private static final int MOST_PROVEN = 4096;

	private final Map<String, Suspicion> suspects = bounded(MOST_SUSPECTS);

	private final Map<String, Long> quarantinedUntilNanos = new LinkedHashMap<>();

	private final Map<String, Integer> credits = bounded(MOST_PROVEN);

	private Set<String> agreed = Set.of();

	private Map<String, String> agreedSuspects = Map.of();

	@Override
	public boolean isQuarantined(String fingerprint) {
		return this.agreed.contains(fingerprint) || this.quarantinedUntilNanos.containsKey(fingerprint);
	}

	@Override
	public boolean isSuspect(String fingerprint) {
		return this.suspects.containsKey(fingerprint);
	}

	@Override
	public boolean isProven(String fingerprint) {
		return this.credits.containsKey(fingerprint);
	}

	@Override
	public DeathVerdict onDeath(long nowNanos, String fingerprint, String targetId) {
		if (isQuarantined(fingerprint)) {
			return DeathVerdict.QUARANTINED;
		}
		final Integer credit = this.credits.get(fingerprint);
		if (credit != null) {
			spend(fingerprint, credit);
			return DeathVerdict.EXCUSED;
		}
		final Suspicion suspicion = this.suspects.computeIfAbsent(fingerprint, (key) -> new Suspicion());
		suspicion.targetIds.add(targetId);
		suspicion.untilNanos = nowNanos + LIFETIME_NANOS;
		if (suspicion.targetIds.size() < 2 || this.quarantinedUntilNanos.size() >= MOST_QUARANTINES) {
			return DeathVerdict.SUSPECTED;
		}
		this.quarantinedUntilNanos.put(fingerprint, nowNanos + LIFETIME_NANOS);
		this.suspects.remove(fingerprint);
		freeBystanders(suspicion.targetIds);
		return DeathVerdict.QUARANTINED;
	}

	private void spend(String fingerprint, int credit) {
		if (credit > 1) {
			this.credits.put(fingerprint, credit - 1);
		}
		else {
			this.credits.remove(fingerprint);
		}
	}

	private void freeBystanders(Set<String> targetIds) {
		this.suspects.values().removeIf((suspicion) -> targetIds.containsAll(suspicion.targetIds));
	}

	@Override
	public void onSurvived(String fingerprint, boolean completed) {
		this.suspects.remove(fingerprint);
		if (completed && !fingerprint.isEmpty()) {
			this.credits.merge(fingerprint, 1, (had, one) -> Math.min(MOST_CREDITS, had + one));
		}
	}

	@Override
	public void onAgreed(long nowNanos, Set<String> quarantined, Map<String, String> suspectTargetIds) {
		suspectTargetIds.forEach((fingerprint, targetId) -> {
			final String before = this.agreedSuspects.get(fingerprint);
			if (!targetId.equals(before) && !quarantined.contains(fingerprint) && !isProven(fingerprint)) {
				final Suspicion suspicion = this.suspects.computeIfAbsent(fingerprint, (key) -> new Suspicion());
				// A newer report stands for the older one, of which others may have
				// cleared it.
				suspicion.targetIds.remove(before);
				suspicion.targetIds.add(targetId);
				suspicion.untilNanos = nowNanos + LIFETIME_NANOS;
			}
		});
		for (final String fingerprint : quarantined) {
			if (!this.agreed.contains(fingerprint)) {
				condemn(fingerprint, suspectTargetIds.get(fingerprint));
			}
		}
		this.agreed = Set.copyOf(quarantined);
		this.agreedSuspects = Map.copyOf(suspectTargetIds);
	}

	private void condemn(String fingerprint, String firstTargetId) {
		final Set<String> targetIds = new HashSet<>();
		final Suspicion suspicion = this.suspects.remove(fingerprint);
		if (suspicion != null) {
			targetIds.addAll(suspicion.targetIds);
		}
		if (firstTargetId != null) {
			targetIds.add(firstTargetId);
		}
		freeBystanders(targetIds);
	}

	@Override
	public void onTick(long nowNanos) {
		this.suspects.values().removeIf((suspicion) -> nowNanos - suspicion.untilNanos >= 0);
		this.quarantinedUntilNanos.values().removeIf((untilNanos) -> nowNanos - untilNanos >= 0);
	}

	@Override
	public Map<String, Set<String>> suspects() {
		final Map<String, Set<String>> copy = new HashMap<>();
		this.suspects.forEach((fingerprint, suspicion) -> copy.put(fingerprint, Set.copyOf(suspicion.targetIds)));
		return copy;
	}

	private static <V> Map<String, V> bounded(int mostEntries) {
		return new LinkedHashMap<>() {

			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
				return size() > mostEntries;
			}

		};
	}

	private static final class Suspicion {

		private final Set<String> targetIds = new HashSet<>();

		private long untilNanos;

	}

}
