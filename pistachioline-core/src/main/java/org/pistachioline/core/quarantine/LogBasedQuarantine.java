package org.pistachioline.core.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Quarantines a request after attempts at two different targets broke off under it, and
 * shares its state with other daemons through the replicated log.
 * <p>
 * A request that crashes every target that runs it, and is resubmitted by its caller,
 * would otherwise take one group of many instances after the other out of service. One
 * crash only makes a request a suspect, since all requests of the batch see the same
 * crash. A suspect is run again, isolated from other suspects, and only a crash of a
 * second target quarantines it. The other suspects of the same targets are then cleared.
 * <p>
 * At most {@value #MAX_QUARANTINES} requests are quarantined at a time, since a rolling
 * outage crashes targets under unrelated requests and must not block all callers. Each
 * earlier completion excuses one crash, up to {@value #MAX_CREDITS}, so that a popular
 * prompt that runs on all groups of a rack is not quarantined when the rack fails.
 */
public final class LogBasedQuarantine implements QuarantinePolicy {

	/** Duration of a suspicion or a quarantine, in minutes. */
	public static final long QUARANTINE_MINUTES = 10;

	private static final long QUARANTINE_NANOS = QUARANTINE_MINUTES * 60 * 1_000_000_000L;

	/**
	 * Maximum number of requests quarantined at a time, by this daemon and on the log.
	 */
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
	public void onRunPastCrash(long nowNanos, String fingerprint, boolean completed) {
		this.suspects.remove(fingerprint);
		if (completed && !fingerprint.isEmpty()) {
			this.credits.merge(fingerprint, 1, (credit, added) -> Math.min(MAX_CREDITS, credit + added));
		}
	}

	@Override
	public void onLogState(long nowNanos, Set<String> quarantined, Map<String, String> suspectTargetIds) {
		suspectTargetIds.forEach((fingerprint, targetId) -> {
			final String previousTargetId = this.loggedSuspects.get(fingerprint);
			if (!targetId.equals(previousTargetId) && !quarantined.contains(fingerprint) && !isTrusted(fingerprint)) {
				final Suspicion suspicion = this.suspects.computeIfAbsent(fingerprint, (key) -> new Suspicion());
				// A newer report replaces the older one, of which another daemon may have
				// cleared the request.
				suspicion.targetIds.remove(previousTargetId);
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

	private void onLoggedQuarantine(String fingerprint, String loggedTargetId) {
		final Set<String> targetIds = new HashSet<>();
		final Suspicion suspicion = this.suspects.remove(fingerprint);
		if (suspicion != null) {
			targetIds.addAll(suspicion.targetIds);
		}
		if (loggedTargetId != null) {
			targetIds.add(loggedTargetId);
		}
		clearBystanders(targetIds);
	}

	@Override
	public void onTick(long nowNanos) {
		this.suspects.values().removeIf((suspicion) -> nowNanos - suspicion.expiresAtNanos >= 0);
		this.quarantineEndsNanos.values().removeIf((endsNanos) -> nowNanos - endsNanos >= 0);
	}

	@Override
	public Map<String, Set<String>> suspects() {
		final Map<String, Set<String>> targetIds = new HashMap<>();
		this.suspects.forEach((fingerprint, suspicion) -> targetIds.put(fingerprint, Set.copyOf(suspicion.targetIds)));
		return targetIds;
	}

	private static <V> Map<String, V> boundedMap(int maxEntries) {
		return new LinkedHashMap<>() {

			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
				return size() > maxEntries;
			}

		};
	}

	private static final class Suspicion {

		private final Set<String> targetIds = new HashSet<>();

		private long expiresAtNanos;

	}

}
