package org.pistachioline.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The requests under which targets died, as this daemon saw it and others told.
 * <p>
 * What daemons tell each other can be put together in any order and any number of times,
 * so that frames may be lost, doubled or late. It is bounded: entries are only made by
 * deaths of targets, and where there is no room those that tell least go first.
 */
final class DeathBook {

	/** Some 200 bytes each; a rack that goes leaves as many suspects. */
	static final int MOST_REQUESTS = 512;

	/** An outage must not bar everybody's requests. */
	static final int MOST_QUARANTINED = DeathCounter.MOST_QUARANTINES;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final long MINUTE_NANOS = 60_000 * NANOS_PER_MILLI;

	private static final long QUARANTINE_NANOS = DeathCounter.LIFETIME_MINUTES * MINUTE_NANOS;

	/** A caller who sends its request again does so within seconds. */
	private static final long SUSPICION_NANOS = 2 * MINUTE_NANOS;

	/**
	 * For how long a barred request is remembered: once its time is up it may run again,
	 * and the death of one target bars it anew.
	 */
	private static final long MEMORY_NANOS = 60 * MINUTE_NANOS;

	/** While so many targets die without a request, one more must die under it. */
	private static final int OUTAGE_TARGETS = 3;

	private static final long OUTAGE_NANOS = MINUTE_NANOS / 6;

	/** How many requests one heartbeat tells of. */
	static final int MOST_TOLD = 8;

	/** How many requests a daemon is told of that has just started. */
	static final int MOST_KNOWN = 16;

	/** How often news is told with each heartbeat before it waits its turn. */
	private static final int NEWS_REPEATS = 4;

	/** How often what is no news is told, for daemons that have just started. */
	private static final long REPEAT_NANOS = 1_200 * NANOS_PER_MILLI;

	/** How late a quarantine may end. */
	private static final long EXPIRY_NANOS = 1_000 * NANOS_PER_MILLI;

	private final int deathsToQuarantine;

	private final Map<String, RequestDeaths> requests = new LinkedHashMap<>();

	private final Set<String> quarantined = new HashSet<>();

	private long expiredAtNanos = Long.MIN_VALUE / 2;

	/**
	 * Creates an empty book.
	 * @param deathsToQuarantine how many targets must die as they begin with a request
	 * until it is barred; of those that had been answering for a while twice as many
	 */
	DeathBook(int deathsToQuarantine) {
		this.deathsToQuarantine = deathsToQuarantine;
	}

	boolean isQuarantined(String fingerprint) {
		return this.quarantined.contains(fingerprint);
	}

	/**
	 * Returns whether a target died as it began with a request, or two later on, and
	 * nothing speaks for the request.
	 * @param fingerprint the request's fingerprint
	 * @return whether it is suspected
	 */
	boolean isSuspected(String fingerprint) {
		final RequestDeaths deaths = this.requests.get(fingerprint);
		return deaths != null && deaths.weight() >= DeathPhase.BEGINNING.weight();
	}

	Set<String> quarantined() {
		return Set.copyOf(this.quarantined);
	}

	/**
	 * Takes a death; {@link #judge} draws the conclusions.
	 * @param nowNanos the monotonic time
	 * @param fingerprint the request's fingerprint
	 * @param death the death
	 * @return whether that is news
	 */
	boolean add(long nowNanos, String fingerprint, TargetDeath death) {
		final RequestDeaths deaths = of(nowNanos, fingerprint);
		final boolean news = deaths.add(death);
		if (news) {
			deaths.renew();
		}
		return news;
	}

	/**
	 * Excuses all known deaths under a request that has run to its end.
	 * @param fingerprint the request's fingerprint
	 */
	void excuse(String fingerprint) {
		final RequestDeaths deaths = this.requests.get(fingerprint);
		if (deaths != null && deaths.excuse()) {
			deaths.renew();
			this.quarantined.remove(fingerprint);
		}
	}

	/**
	 * Bars the requests that are the best explanation of enough deaths, and no others.
	 * @param nowNanos the monotonic time
	 */
	void judge(long nowNanos) {
		this.quarantined.clear();
		final List<RequestDeaths> enough = this.requests.values()
			.stream()
			.filter((deaths) -> isEnough(deaths.weight(), 0))
			.toList();
		if (enough.isEmpty()) {
			return;
		}
		final boolean outage = targetsThatDieWithout(enough, nowNanos) >= OUTAGE_TARGETS;
		for (final RequestDeaths deaths : enough) {
			final int more = deaths.doubtful(outage) ? 1 : 0;
			final boolean recent = deaths.lastDeathAgeNanos(nowNanos) < QUARANTINE_NANOS;
			final boolean room = this.quarantined.size() < MOST_QUARANTINED;
			if (recent && room && isEnough(deaths.weightBeside(this.requests.values()), more)) {
				this.quarantined.add(deaths.fingerprint());
			}
		}
	}

	private long targetsThatDieWithout(List<RequestDeaths> explained, long nowNanos) {
		final Set<String> targetIds = new HashSet<>();
		this.requests.values()
			.stream()
			.filter((deaths) -> deaths.lastDeathAgeNanos(nowNanos) < OUTAGE_NANOS)
			.forEach((deaths) -> targetIds.addAll(deaths.targetIds()));
		explained.forEach((deaths) -> targetIds.removeAll(deaths.targetIds()));
		return targetIds.size();
	}

	private boolean isEnough(int weight, int moreDeaths) {
		return weight >= (this.deathsToQuarantine + moreDeaths) * DeathPhase.BEGINNING.weight();
	}

	private RequestDeaths of(long nowNanos, String fingerprint) {
		final RequestDeaths known = this.requests.get(fingerprint);
		if (known != null) {
			return known;
		}
		if (this.requests.size() >= MOST_REQUESTS) {
			forgetLeast(nowNanos);
		}
		final RequestDeaths added = new RequestDeaths(fingerprint);
		this.requests.put(fingerprint, added);
		return added;
	}

	private void forgetLeast(long nowNanos) {
		final Comparator<Map.Entry<String, RequestDeaths>> byWorth = Comparator
			.comparingInt((Map.Entry<String, RequestDeaths> entry) -> entry.getValue().weight())
			.thenComparing((entry) -> -entry.getValue().lastDeathAgeNanos(nowNanos));
		this.requests.entrySet().stream().min(byWorth).map(Map.Entry::getKey).ifPresent((fingerprint) -> {
			this.requests.remove(fingerprint);
			this.quarantined.remove(fingerprint);
		});
	}

	/**
	 * Lets suspicions and quarantines expire.
	 * @param nowNanos the monotonic time
	 */
	void onTick(long nowNanos) {
		if (nowNanos - this.expiredAtNanos < EXPIRY_NANOS) {
			return;
		}
		this.expiredAtNanos = nowNanos;
		this.requests.values().removeIf((deaths) -> {
			final long keptNanos = isEnough(deaths.weight(), 0) ? MEMORY_NANOS : SUSPICION_NANOS;
			return deaths.lastDeathAgeNanos(nowNanos) >= keptNanos;
		});
		if (!this.quarantined.isEmpty()) {
			judge(nowNanos);
		}
	}

	/**
	 * Chooses what the next heartbeat tells: what was told least often first.
	 * @param nowNanos the monotonic time
	 * @return the requests
	 */
	List<SuspectedRequest> sample(long nowNanos) {
		return this.requests.values()
			.stream()
			.filter(RequestDeaths::isTold)
			.filter((deaths) -> deaths.timesTold() < NEWS_REPEATS || nowNanos - deaths.toldAtNanos() >= REPEAT_NANOS)
			.sorted(Comparator.comparingInt((RequestDeaths deaths) -> Math.min(NEWS_REPEATS, deaths.timesTold()))
				.thenComparingLong((deaths) -> deaths.toldAtNanos() - nowNanos))
			.limit(MOST_TOLD)
			.map((deaths) -> deaths.tell(nowNanos))
			.toList();
	}

	/**
	 * Tells of some requests.
	 * @param nowNanos the monotonic time
	 * @param fingerprints the requests' fingerprints
	 * @return those that are to be told
	 */
	List<SuspectedRequest> tell(long nowNanos, Set<String> fingerprints) {
		final List<SuspectedRequest> told = new ArrayList<>();
		for (final String fingerprint : fingerprints) {
			final RequestDeaths deaths = this.requests.get(fingerprint);
			if (deaths != null && deaths.isTold() && told.size() < MOST_TOLD) {
				told.add(deaths.tell(nowNanos));
			}
		}
		return told;
	}

	/**
	 * Returns what a daemon is told that has just started: what weighs most first.
	 * @return the requests
	 */
	List<SuspectedRequest> known() {
		return this.requests.values()
			.stream()
			.filter(RequestDeaths::isTold)
			.sorted(Comparator.comparingInt((RequestDeaths deaths) -> -deaths.weight()))
			.limit(MOST_KNOWN)
			.map(RequestDeaths::asKnown)
			.toList();
	}

	Map<String, Set<String>> targetIds() {
		final Map<String, Set<String>> targetIds = new LinkedHashMap<>();
		this.requests.forEach((fingerprint, deaths) -> targetIds.put(fingerprint, deaths.targetIds()));
		return targetIds;
	}

	List<DeathReport> reports(long nowNanos) {
		final List<DeathReport> reports = new ArrayList<>();
		this.requests.forEach((fingerprint, deaths) -> reports
			.add(new DeathReport(fingerprint, this.quarantined.contains(fingerprint), deaths.targetIds(),
					deaths.lastDeathAgeNanos(nowNanos) / NANOS_PER_MILLI)));
		return reports;
	}

}
