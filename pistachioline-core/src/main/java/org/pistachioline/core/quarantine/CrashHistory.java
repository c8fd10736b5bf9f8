package org.pistachioline.core.quarantine;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The deaths of targets under one request, as far as this daemon knows.
 */
final class CrashHistory {

	/** More are not needed for a verdict. */
	private static final int MAX_CRASHES = 8;

	private final String fingerprint;

	private final Map<String, CrashEvidence> evidenceByTargetId = new LinkedHashMap<>();

	private long lastCrashNanos;

	private boolean outageChecked;

	private boolean duringOutage;

	private int sendCount;

	private long lastSentNanos;

	CrashHistory(String fingerprint) {
		this.fingerprint = fingerprint;
	}

	/**
	 * Takes a death that was seen here or told.
	 * @param death the death
	 * @return whether that is news
	 */
	boolean add(CrashEvidence death) {
		final CrashEvidence known = this.evidenceByTargetId.get(death.targetId());
		if (known == null && this.evidenceByTargetId.size() >= MAX_CRASHES && !evictExcused()) {
			return false;
		}
		if (this.evidenceByTargetId.isEmpty() || death.crashedAtNanos() - this.lastCrashNanos > 0) {
			this.lastCrashNanos = death.crashedAtNanos();
		}
		final CrashEvidence merged = (known != null) ? known.merge(death) : death;
		this.evidenceByTargetId.put(death.targetId(), merged);
		// A death that only looks a little older than it was is no news.
		return known == null || known.phase() != merged.phase() || known.excused() != merged.excused();
	}

	// A popular request outlives many targets, and may begin to crash them all the same.
	private boolean evictExcused() {
		final Optional<String> excused = this.evidenceByTargetId.values()
			.stream()
			.filter(CrashEvidence::excused)
			.map(CrashEvidence::targetId)
			.findFirst();
		excused.ifPresent(this.evidenceByTargetId::remove);
		return excused.isPresent();
	}

	/**
	 * Excuses all deaths, as the request has run to its end.
	 * @return whether any death was held against it
	 */
	boolean excuse() {
		final boolean news = weight() > 0;
		this.evidenceByTargetId.replaceAll((targetId, death) -> death.asExcused());
		this.outageChecked = false;
		return news;
	}

	int weight() {
		return this.evidenceByTargetId.values().stream().mapToInt(CrashEvidence::weight).sum();
	}

	/**
	 * Weighs the deaths beside what else ran on the targets that died. One that another
	 * request explains, as more targets died under that, does not count; one that another
	 * explains as well counts half.
	 * @param others all requests
	 * @return the weight
	 */
	int attributedWeight(Collection<CrashHistory> others) {
		final int own = weight();
		int sum = 0;
		for (final CrashEvidence death : this.evidenceByTargetId.values()) {
			final int rival = others.stream()
				.filter((other) -> other != this && other.hasEvidence(death.targetId()))
				.mapToInt(CrashHistory::weight)
				.max()
				.orElse(0);
			if (rival <= own) {
				sum += (rival == own) ? death.weight() / 2 : death.weight();
			}
		}
		return sum;
	}

	private boolean hasEvidence(String targetId) {
		final CrashEvidence death = this.evidenceByTargetId.get(targetId);
		return death != null && !death.excused();
	}

	/**
	 * Returns whether other daemons are to know. Each plain crash leaves many deaths that
	 * say little, and of those two must come together.
	 * @return whether they are
	 */
	boolean shouldGossip() {
		final int known = this.evidenceByTargetId.values().stream().mapToInt((death) -> death.phase().weight()).sum();
		return known >= CrashPhase.STARTING.weight();
	}

	String fingerprint() {
		return this.fingerprint;
	}

	Set<String> targetIds() {
		return Set.copyOf(this.evidenceByTargetId.keySet());
	}

	/**
	 * Returns how long ago the last death was, excused or not.
	 * @param nowNanos the monotonic time
	 * @return the age in nanoseconds
	 */
	long lastCrashAgeNanos(long nowNanos) {
		return nowNanos - this.lastCrashNanos;
	}

	/**
	 * Returns whether targets were dying without the request when enough had died under
	 * it. What was so then stays so: their deaths are forgotten sooner than this one's.
	 * @param now whether they are
	 * @return whether they were
	 */
	boolean duringOutage(boolean now) {
		if (!this.outageChecked) {
			this.outageChecked = true;
			this.duringOutage = now;
		}
		return this.duringOutage;
	}

	void resetSendCount() {
		this.sendCount = 0;
	}

	int sendCount() {
		return this.sendCount;
	}

	long lastSentNanos() {
		return this.lastSentNanos;
	}

	SuspectedRequest recordSend(long nowNanos) {
		this.sendCount++;
		this.lastSentNanos = nowNanos;
		return toSuspectedRequest();
	}

	SuspectedRequest toSuspectedRequest() {
		return new SuspectedRequest(this.fingerprint, List.copyOf(this.evidenceByTargetId.values()));
	}

}
