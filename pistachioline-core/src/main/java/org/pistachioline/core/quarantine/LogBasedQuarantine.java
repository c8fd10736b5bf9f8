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
 * The limits: {@value #MAX_QUARANTINES} quarantines at a time, since a rolling outage
 * kills targets under innocents, and a cap keeps it from barring everybody's requests;
 * each earlier completion excuses one death, up to {@value #MAX_CREDITS}, so that a
 * popular prompt which runs on all groups of a rack is not barred with the rack.
 */
public final class LogBasedQuarantine implements QuarantinePolicy {

	/** How long a suspicion or a quarantine lasts, in minutes. */
	public static final long QUARANTINE_MINUTES = 10;

	private static final long QUARANTINE_NANOS = QUARANTINE_MINUTES * 60 * 1_000_000_000L;

	/** How many requests may be quarantined at a time, here and on the log. */
	public static final int MAX_QUARANTINES = 64;

	private static final int MAX_CREDITS = 8;

	private static final int MAX_SUSPECTS = 4096;

	private static final int MAX_TRUSTED = 4096;

	private final Map<String, Suspicion> suspects = boundedMap(MAX_SUSPECTS);

	private final Map<String, Long> quarantineEndsNanos = new LinkedHashMap<>();

	private final Map<String, Integer> credits = boundedMap(MAX_TRUSTED);

	private Set<String> loggedQuarantines = Set.of();

	private Map<String, String> loggedSuspects = Map.of();

	@Override
	public boolean isQuarantined(String fingerprint) {
		return this.loggedQuarantines.contains(fingerprint) || this.quarantineEndsNanos.containsKey(fingerprint);
	}

	@Override
	public boolean isSuspect(String fingerprint) {
		return this.suspects.containsKey(fingerprint);
	}

	@Override
	public boolean isTrusted(String fingerprint) {
		return this.credits.containsKey(fingerprint);
	}

	@Override
	public CrashVerdict onBrokenAttempt(long nowNanos, String fingerprint, String targetId) {
		if (isQuarantined(fingerprint)) {
			return CrashVerdict.QUARANTINED;
		}
		final Integer credit = this.credits.get(fingerprint);
		if (credit != null) {
			spendCredit(fingerprint, credit);
			return CrashVerdict.EXCUSED;
		}
		final Suspicion suspicion = this.suspects.computeIfAbsent(fingerprint, (key) -> new Suspicion());
		suspicion.targetIds.add(targetId);
		suspicion.expiresAtNanos = nowNanos + QUARANTINE_NANOS;
		if (suspicion.targetIds.size() < 2 || this.quarantineEndsNanos.size() >= MAX_QUARANTINES) {
			return CrashVerdict.SUSPECTED;
		}
		this.quarantineEndsNanos.put(fingerprint, nowNanos + QUARANTINE_NANOS);
		this.suspects.remove(fingerprint);
		clearBystanders(suspicion.targetIds);
		return CrashVerdict.QUARANTINED;
	}

	private void spendCredit(String fingerprint, int credit) {
		if (credit > 1) {
			this.credits.put(fingerprint, credit - 1);
		}
		else {
			this.credits.remove(fingerprint);
		}
	}

	private void clearBystanders(Set<String> targetIds) {
		this.suspects.values().removeIf((suspicion) -> targetIds.containsAll(suspicion.targetIds));
	}

	@Override
	public void onRunPastCrash(String fingerprint, boolean completed) {
		this.suspects.remove(fingerprint);
		if (completed && !fingerprint.isEmpty()) {
			this.credits.merge(fingerprint, 1, (had, one) -> Math.min(MAX_CREDITS, had + one));
		}
	}

	@Override
	public void onLogState(long nowNanos, Set<String> quarantined, Map<String, String> suspectTargetIds) {
		suspectTargetIds.forEach((fingerprint, targetId) -> {
			final String before = this.loggedSuspects.get(fingerprint);
			if (!targetId.equals(before) && !quarantined.contains(fingerprint) && !isTrusted(fingerprint)) {
				final Suspicion suspicion = this.suspects.computeIfAbsent(fingerprint, (key) -> new Suspicion());
				// A newer report stands for the older one, of which others may have
				// cleared it.
				suspicion.targetIds.remove(before);
				suspicion.targetIds.add(targetId);
				suspicion.expiresAtNanos = nowNanos + QUARANTINE_NANOS;
			}
		});
		for (final String fingerprint : quarantined) {
			if (!this.loggedQuarantines.contains(fingerprint)) {
				onLoggedQuarantine(fingerprint, suspectTargetIds.get(fingerprint));
			}
		}
		this.loggedQuarantines = Set.copyOf(quarantined);
		this.loggedSuspects = Map.copyOf(suspectTargetIds);
	}

	private void onLoggedQuarantine(String fingerprint, String firstTargetId) {
		final Set<String> targetIds = new HashSet<>();
		final Suspicion suspicion = this.suspects.remove(fingerprint);
		if (suspicion != null) {
			targetIds.addAll(suspicion.targetIds);
		}
		if (firstTargetId != null) {
			targetIds.add(firstTargetId);
		}
		clearBystanders(targetIds);
	}

	@Override
	public void onTick(long nowNanos) {
		this.suspects.values().removeIf((suspicion) -> nowNanos - suspicion.expiresAtNanos >= 0);
		this.quarantineEndsNanos.values().removeIf((untilNanos) -> nowNanos - untilNanos >= 0);
	}

	@Override
	public Map<String, Set<String>> suspects() {
		final Map<String, Set<String>> copy = new HashMap<>();
		this.suspects.forEach((fingerprint, suspicion) -> copy.put(fingerprint, Set.copyOf(suspicion.targetIds)));
		return copy;
	}

	private static <V> Map<String, V> boundedMap(int mostEntries) {
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

		private long expiresAtNanos;

	}

}
