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
final class RequestDeaths {

	/** More are not needed for a verdict. */
	private static final int MOST_DEATHS = 8;

	private final String fingerprint;

	private final Map<String, TargetDeath> byTargetId = new LinkedHashMap<>();

	private long lastDiedAtNanos;

	private boolean judged;

	private boolean doubtful;

	private int timesTold;

	private long toldAtNanos;

	RequestDeaths(String fingerprint) {
		this.fingerprint = fingerprint;
	}

	/**
	 * Takes a death that was seen here or told.
	 * @param death the death
	 * @return whether that is news
	 */
	boolean add(TargetDeath death) {
		final TargetDeath known = this.byTargetId.get(death.targetId());
		if (known == null && this.byTargetId.size() >= MOST_DEATHS && !forgetExcused()) {
			return false;
		}
		if (this.byTargetId.isEmpty() || death.diedAtNanos() - this.lastDiedAtNanos > 0) {
			this.lastDiedAtNanos = death.diedAtNanos();
		}
		final TargetDeath merged = (known != null) ? known.with(death) : death;
		this.byTargetId.put(death.targetId(), merged);
		// A death that only looks a little older than it was is no news.
		return known == null || known.phase() != merged.phase() || known.excused() != merged.excused();
	}

	// A popular request outlives many targets, and may begin to crash them all the same.
	private boolean forgetExcused() {
		final Optional<String> excused = this.byTargetId.values()
			.stream()
			.filter(TargetDeath::excused)
			.map(TargetDeath::targetId)
			.findFirst();
		excused.ifPresent(this.byTargetId::remove);
		return excused.isPresent();
	}

	/**
	 * Excuses all deaths, as the request has run to its end.
	 * @return whether any death was held against it
	 */
	boolean excuse() {
		final boolean news = weight() > 0;
		this.byTargetId.replaceAll((targetId, death) -> death.excuse());
		this.judged = false;
		return news;
	}

	int weight() {
		return this.byTargetId.values().stream().mapToInt(TargetDeath::weight).sum();
	}

	/**
	 * Weighs the deaths beside what else ran on the targets that died. One that another
	 * request explains, as more targets died under that, does not count; one that another
	 * explains as well counts half.
	 * @param others all requests
	 * @return the weight
	 */
	int weightBeside(Collection<RequestDeaths> others) {
		final int own = weight();
		int sum = 0;
		for (final TargetDeath death : this.byTargetId.values()) {
			final int rival = others.stream()
				.filter((other) -> other != this && other.holds(death.targetId()))
				.mapToInt(RequestDeaths::weight)
				.max()
				.orElse(0);
			if (rival <= own) {
				sum += (rival == own) ? death.weight() / 2 : death.weight();
			}
		}
		return sum;
	}

	private boolean holds(String targetId) {
		final TargetDeath death = this.byTargetId.get(targetId);
		return death != null && !death.excused();
	}

	/**
	 * Returns whether other daemons are to know. Each plain crash leaves many deaths that
	 * say little, and of those two must come together.
	 * @return whether they are
	 */
	boolean isTold() {
		final int known = this.byTargetId.values().stream().mapToInt((death) -> death.phase().weight()).sum();
		return known >= DeathPhase.BEGINNING.weight();
	}

	String fingerprint() {
		return this.fingerprint;
	}

	Set<String> targetIds() {
		return Set.copyOf(this.byTargetId.keySet());
	}

	/**
	 * Returns how long ago the last death was, excused or not.
	 * @param nowNanos the monotonic time
	 * @return the age in nanoseconds
	 */
	long lastDeathAgeNanos(long nowNanos) {
		return nowNanos - this.lastDiedAtNanos;
	}

	/**
	 * Returns whether targets were dying without the request when enough had died under
	 * it. What was so then stays so: their deaths are forgotten sooner than this one's.
	 * @param now whether they are
	 * @return whether they were
	 */
	boolean doubtful(boolean now) {
		if (!this.judged) {
			this.judged = true;
			this.doubtful = now;
		}
		return this.doubtful;
	}

	void renew() {
		this.timesTold = 0;
	}

	int timesTold() {
		return this.timesTold;
	}

	long toldAtNanos() {
		return this.toldAtNanos;
	}

	SuspectedRequest tell(long nowNanos) {
		this.timesTold++;
		this.toldAtNanos = nowNanos;
		return asKnown();
	}

	SuspectedRequest asKnown() {
		return new SuspectedRequest(this.fingerprint, List.copyOf(this.byTargetId.values()));
	}

}
