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
final class CrashRegistry {

	/** Some 200 bytes each; a rack that goes leaves as many suspects. */
	static final int MAX_REQUESTS = 512;

	/** An outage must not bar everybody's requests. */
	static final int MAX_QUARANTINED = LogBasedQuarantine.MAX_QUARANTINES;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final long MINUTE_NANOS = 60_000 * NANOS_PER_MILLI;

	private static final long QUARANTINE_NANOS = LogBasedQuarantine.QUARANTINE_MINUTES * MINUTE_NANOS;

	/** A caller who sends its request again does so within seconds. */
	private static final long SUSPECT_RETENTION_NANOS = 2 * MINUTE_NANOS;

	/**
	 * For how long a barred request is remembered: once its time is up it may run again,
	 * and the death of one target bars it anew.
	 */
	private static final long QUARANTINED_RETENTION_NANOS = 60 * MINUTE_NANOS;

	/** While so many targets die without a request, one more must die under it. */
	private static final int OUTAGE_TARGETS = 3;

	private static final long OUTAGE_WINDOW_NANOS = MINUTE_NANOS / 6;

	/** How many requests one heartbeat tells of. */
	static final int MAX_SAMPLED = 8;

	/** How many requests a daemon is told of that has just started. */
	static final int MAX_KNOWN_SUSPECTS = 16;

	/** How often news is told with each heartbeat before it waits its turn. */
	private static final int EAGER_SENDS = 4;

	/** How often what is no news is told, for daemons that have just started. */
	private static final long RESEND_INTERVAL_NANOS = 1_200 * NANOS_PER_MILLI;

	/** How late a quarantine may end. */
	private static final long EXPIRY_INTERVAL_NANOS = 1_000 * NANOS_PER_MILLI;

	private final int crashesToQuarantine;

	private final Map<String, CrashHistory> histories = new LinkedHashMap<>();

	private final Set<String> quarantined = new HashSet<>();

	private long lastExpiryNanos = Long.MIN_VALUE / 2;

	/**
	 * Creates an empty book.
	 * @param deathsToQuarantine how many targets must die as they begin with a request
	 * until it is barred; of those that had been answering for a while twice as many
	 */
	CrashRegistry(int deathsToQuarantine) {
		this.crashesToQuarantine = deathsToQuarantine;
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
		final CrashHistory deaths = this.histories.get(fingerprint);
		return deaths != null && deaths.weight() >= CrashPhase.STARTING.weight();
	}

	Set<String> quarantined() {
		return Set.copyOf(this.quarantined);
	}

	/**
	 * Takes a death; {@link #updateQuarantines} draws the conclusions.
	 * @param nowNanos the monotonic time
	 * @param fingerprint the request's fingerprint
	 * @param death the death
	 * @return whether that is news
	 */
	boolean add(long nowNanos, String fingerprint, CrashEvidence death) {
		final CrashHistory deaths = getOrCreate(nowNanos, fingerprint);
		final boolean news = deaths.add(death);
		if (news) {
			deaths.resetSendCount();
		}
		return news;
	}

	/**
	 * Excuses all known deaths under a request that has run to its end.
	 * @param fingerprint the request's fingerprint
	 */
	void excuse(String fingerprint) {
		final CrashHistory deaths = this.histories.get(fingerprint);
		if (deaths != null && deaths.excuse()) {
			deaths.resetSendCount();
			this.quarantined.remove(fingerprint);
		}
	}

	/**
	 * Bars the requests that are the best explanation of enough deaths, and no others.
	 * @param nowNanos the monotonic time
	 */
	void updateQuarantines(long nowNanos) {
		this.quarantined.clear();
		final List<CrashHistory> enough = this.histories.values()
			.stream()
			.filter((deaths) -> reachesThreshold(deaths.weight(), 0))
			.toList();
		if (enough.isEmpty()) {
			return;
		}
		final boolean outage = countUnexplainedTargets(enough, nowNanos) >= OUTAGE_TARGETS;
		for (final CrashHistory deaths : enough) {
			final int more = deaths.duringOutage(outage) ? 1 : 0;
			final boolean recent = deaths.lastCrashAgeNanos(nowNanos) < QUARANTINE_NANOS;
			final boolean room = this.quarantined.size() < MAX_QUARANTINED;
			if (recent && room && reachesThreshold(deaths.attributedWeight(this.histories.values()), more)) {
				this.quarantined.add(deaths.fingerprint());
			}
		}
	}

	private long countUnexplainedTargets(List<CrashHistory> explained, long nowNanos) {
		final Set<String> targetIds = new HashSet<>();
		this.histories.values()
			.stream()
			.filter((deaths) -> deaths.lastCrashAgeNanos(nowNanos) < OUTAGE_WINDOW_NANOS)
			.forEach((deaths) -> targetIds.addAll(deaths.targetIds()));
		explained.forEach((deaths) -> targetIds.removeAll(deaths.targetIds()));
		return targetIds.size();
	}

	private boolean reachesThreshold(int weight, int moreDeaths) {
		return weight >= (this.crashesToQuarantine + moreDeaths) * CrashPhase.STARTING.weight();
	}

	private CrashHistory getOrCreate(long nowNanos, String fingerprint) {
		final CrashHistory known = this.histories.get(fingerprint);
		if (known != null) {
			return known;
		}
		if (this.histories.size() >= MAX_REQUESTS) {
			evictWeakest(nowNanos);
		}
		final CrashHistory added = new CrashHistory(fingerprint);
		this.histories.put(fingerprint, added);
		return added;
	}

	private void evictWeakest(long nowNanos) {
		final Comparator<Map.Entry<String, CrashHistory>> byWorth = Comparator
			.comparingInt((Map.Entry<String, CrashHistory> entry) -> entry.getValue().weight())
			.thenComparing((entry) -> -entry.getValue().lastCrashAgeNanos(nowNanos));
		this.histories.entrySet().stream().min(byWorth).map(Map.Entry::getKey).ifPresent((fingerprint) -> {
			this.histories.remove(fingerprint);
			this.quarantined.remove(fingerprint);
		});
	}

	/**
	 * Lets suspicions and quarantines expire.
	 * @param nowNanos the monotonic time
	 */
	void onTick(long nowNanos) {
		if (nowNanos - this.lastExpiryNanos < EXPIRY_INTERVAL_NANOS) {
			return;
		}
		this.lastExpiryNanos = nowNanos;
		this.histories.values().removeIf((deaths) -> {
			final long keptNanos = reachesThreshold(deaths.weight(), 0) ? QUARANTINED_RETENTION_NANOS
					: SUSPECT_RETENTION_NANOS;
			return deaths.lastCrashAgeNanos(nowNanos) >= keptNanos;
		});
		if (!this.quarantined.isEmpty()) {
			updateQuarantines(nowNanos);
		}
	}

	/**
	 * Chooses what the next heartbeat tells: what was told least often first.
	 * @param nowNanos the monotonic time
	 * @return the requests
	 */
	List<SuspectedRequest> gossipSample(long nowNanos) {
		return this.histories.values()
			.stream()
			.filter(CrashHistory::shouldGossip)
			.filter((deaths) -> deaths.sendCount() < EAGER_SENDS
					|| nowNanos - deaths.lastSentNanos() >= RESEND_INTERVAL_NANOS)
			.sorted(Comparator.comparingInt((CrashHistory deaths) -> Math.min(EAGER_SENDS, deaths.sendCount()))
				.thenComparingLong((deaths) -> deaths.lastSentNanos() - nowNanos))
			.limit(MAX_SAMPLED)
			.map((deaths) -> deaths.recordSend(nowNanos))
			.toList();
	}

	/**
	 * Tells of some requests.
	 * @param nowNanos the monotonic time
	 * @param fingerprints the requests' fingerprints
	 * @return those that are to be told
	 */
	List<SuspectedRequest> select(long nowNanos, Set<String> fingerprints) {
		final List<SuspectedRequest> told = new ArrayList<>();
		for (final String fingerprint : fingerprints) {
			final CrashHistory deaths = this.histories.get(fingerprint);
			if (deaths != null && deaths.shouldGossip() && told.size() < MAX_SAMPLED) {
				told.add(deaths.recordSend(nowNanos));
			}
		}
		return told;
	}

	/**
	 * Returns what a daemon is told that has just started: what weighs most first.
	 * @return the requests
	 */
	List<SuspectedRequest> knownSuspects() {
		return this.histories.values()
			.stream()
			.filter(CrashHistory::shouldGossip)
			.sorted(Comparator.comparingInt((CrashHistory deaths) -> -deaths.weight()))
			.limit(MAX_KNOWN_SUSPECTS)
			.map(CrashHistory::toSuspectedRequest)
			.toList();
	}

	Map<String, Set<String>> targetIdsByFingerprint() {
		final Map<String, Set<String>> targetIds = new LinkedHashMap<>();
		this.histories.forEach((fingerprint, deaths) -> targetIds.put(fingerprint, deaths.targetIds()));
		return targetIds;
	}

	List<CrashReport> reports(long nowNanos) {
		final List<CrashReport> reports = new ArrayList<>();
		this.histories.forEach((fingerprint, deaths) -> reports
			.add(new CrashReport(fingerprint, this.quarantined.contains(fingerprint), deaths.targetIds(),
					deaths.lastCrashAgeNanos(nowNanos) / NANOS_PER_MILLI)));
		return reports;
	}

}
