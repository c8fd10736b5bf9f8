package org.pistachioline.core.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Crash evidence per request, or per part of prompts, observed by this daemon or reported
 * by its peers.
 * <p>
 * A quarantine requires crashes of different targets at different moments that nothing
 * else explains better. Parts are in a registry of their own, since each request has the
 * same crashes as its parts until another one shares them; a part is to blame only for
 * what no single request explains.
 * <p>
 * Merging reports is commutative and idempotent, so frames between daemons may be lost,
 * duplicated or reordered. The size is bounded: only target crashes create entries, and a
 * full registry evicts the request with the weakest evidence.
 */
final class CrashRegistry {

	/**
	 * About 200 bytes per request; a single rack failure can produce this many suspects.
	 */
	static final int MAX_REQUESTS = 512;

	/** Keeps an outage from quarantining the requests of all callers. */
	static final int MAX_QUARANTINED = LogBasedQuarantine.MAX_QUARANTINES;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final long MINUTE_NANOS = 60_000 * NANOS_PER_MILLI;

	private static final long QUARANTINE_NANOS = LogBasedQuarantine.QUARANTINE_MINUTES * MINUTE_NANOS;

	/**
	 * How long a suspect is retained; callers that resubmit a request do so within
	 * seconds.
	 */
	private static final long SUSPECT_RETENTION_NANOS = 2 * MINUTE_NANOS;

	/**
	 * How long a request that reached the threshold is retained. After the quarantine
	 * ends it may run again, and one further crash quarantines it again.
	 */
	private static final long QUARANTINED_RETENTION_NANOS = 60 * MINUTE_NANOS;

	/**
	 * Number of crashed targets, not explained by a request over the threshold, that
	 * indicates an outage. For requests that first reach the threshold during an outage,
	 * the threshold is one crash higher; for parts of prompts it is one higher for each
	 * such number of targets.
	 */
	private static final int OUTAGE_TARGETS = 3;

	private static final long OUTAGE_WINDOW_NANOS = MINUTE_NANOS / 6;

	/**
	 * Bounds the targets that a part can crash before it is quarantined, however many
	 * others crash meanwhile.
	 */
	private static final int MAX_EXTRA_CRASHES = 3;

	/**
	 * At how many moments targets must crash that one more specific suspect, whichever it
	 * is, does not explain. A single one may be a crash for another reason.
	 */
	private static final int MIN_UNEXPLAINED_MOMENTS = 2;

	/**
	 * At how many moments targets must crash under a request. One failure, which is one
	 * moment, never suffices; copies of a request that are sent together also crash their
	 * targets together.
	 */
	private static final int MIN_REQUEST_MOMENTS = 2;

	/** Maximum number of requests in one heartbeat or broadcast. */
	static final int MAX_SAMPLED = 8;

	/** Maximum number of requests sent to a daemon that has just started. */
	static final int MAX_KNOWN_SUSPECTS = 16;

	/**
	 * How many heartbeats carry a changed request before it is resent only at intervals.
	 */
	private static final int EAGER_SENDS = 4;

	/**
	 * Interval at which unchanged requests are resent, for daemons that started later.
	 */
	private static final long RESEND_INTERVAL_NANOS = 1_200 * NANOS_PER_MILLI;

	/** Interval between expiry runs; a quarantine can end this much late. */
	private static final long EXPIRY_INTERVAL_NANOS = 1_000 * NANOS_PER_MILLI;

	private final SuspectKind kind;

	private final int crashesToQuarantine;

	private final int minMoments;

	private final List<CrashRegistry> moreSpecific;

	private final Map<String, CrashHistory> histories = new LinkedHashMap<>();

	private final Set<String> quarantined = new HashSet<>();

	private long lastExpiryNanos = Long.MIN_VALUE / 2;

	/**
	 * Creates an empty registry of requests.
	 * @param crashesToQuarantine how many targets must crash while starting a request to
	 * quarantine it; twice as many if the request was in progress
	 */
	CrashRegistry(int crashesToQuarantine) {
		this(SuspectKind.REQUEST, crashesToQuarantine, MIN_REQUEST_MOMENTS, List.of());
	}

	private CrashRegistry(SuspectKind kind, int crashesToQuarantine, int minMoments, List<CrashRegistry> moreSpecific) {
		this.kind = kind;
		this.crashesToQuarantine = crashesToQuarantine;
		this.minMoments = minMoments;
		this.moreSpecific = moreSpecific;
	}

	/**
	 * Creates an empty registry of parts of prompts.
	 * @param requests the requests, each of which may explain the crashes of its parts
	 * @return the registry
	 */
	static CrashRegistry ofPromptParts(CrashRegistry requests) {
		return new CrashRegistry(SuspectKind.PROMPT_PART, requests.crashesToQuarantine, requests.crashesToQuarantine,
				List.of(requests));
	}

	boolean isQuarantined(String fingerprint) {
		return this.quarantined.contains(fingerprint);
	}

	/**
	 * Returns whether a request has unexcused evidence of at least one crash while
	 * starting, or two while in progress.
	 * @param fingerprint the request's fingerprint
	 * @return true if the request is a suspect
	 */
	boolean isSuspected(String fingerprint) {
		final CrashHistory history = this.histories.get(fingerprint);
		return history != null && history.weight() >= CrashPhase.STARTING.weight();
	}

	Set<String> quarantined() {
		return Set.copyOf(this.quarantined);
	}

	/**
	 * Adds evidence of one crash. The caller then calls {@link #updateQuarantines}.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param fingerprint the request's fingerprint
	 * @param evidence the evidence
	 * @return true if it changed what is known of the request
	 */
	boolean add(long nowNanos, String fingerprint, CrashEvidence evidence) {
		final CrashHistory history = getOrCreate(nowNanos, fingerprint);
		final boolean changed = history.add(evidence);
		if (changed) {
			history.resetSendCount();
		}
		return changed;
	}

	/**
	 * Excuses all recorded crashes of a request that a target has run without crashing.
	 * @param fingerprint the request's fingerprint
	 * @return true if it changed what is known of the request
	 */
	boolean excuse(String fingerprint) {
		final CrashHistory history = this.histories.get(fingerprint);
		final boolean changed = history != null && history.excuse();
		if (changed) {
			history.resetSendCount();
			this.quarantined.remove(fingerprint);
		}
		return changed;
	}

	/**
	 * Quarantines the suspects whose evidence suffices, and releases all others.
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	void updateQuarantines(long nowNanos) {
		this.quarantined.clear();
		final List<CrashHistory> candidates = this.histories.values()
			.stream()
			.filter((history) -> reachesThreshold(history.weight(), 0))
			.toList();
		if (candidates.isEmpty()) {
			return;
		}
		final Set<String> recentTargetIds = recentTargetIds(nowNanos);
		this.moreSpecific.forEach((registry) -> recentTargetIds.addAll(registry.recentTargetIds(nowNanos)));
		final boolean outage = countUnexplainedTargets(candidates, recentTargetIds) >= OUTAGE_TARGETS;
		for (final CrashHistory history : candidates) {
			final int extraCrashes = history.raiseExtraCrashes(extraCrashes(history, outage, recentTargetIds));
			final boolean recent = history.lastCrashAgeNanos(nowNanos) < QUARANTINE_NANOS;
			final boolean hasRoom = this.quarantined.size() < MAX_QUARANTINED;
			if (recent && hasRoom && isToBlame(history, extraCrashes)) {
				history.markQuarantined();
				this.quarantined.add(history.fingerprint());
			}
		}
	}

	/**
	 * Returns how long to hold back a suspect under which enough targets crashed, but at
	 * too few moments. Sent on at once, it could crash many more within the same moment;
	 * a crash after the pause has no common cause with the others.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param fingerprint the suspect
	 * @return the time to wait in nanoseconds
	 */
	long holdNanos(long nowNanos, String fingerprint) {
		final CrashHistory history = this.histories.get(fingerprint);
		final boolean undecided = history != null && reachesThreshold(history.weight(), 0)
				&& history.crashMoments() < this.minMoments;
		return undecided ? CrashMoments.remainingNanos(history.lastCrashAgeNanos(nowNanos)) : 0;
	}

	private boolean isToBlame(CrashHistory history, int extraCrashes) {
		return history.crashMoments() >= this.minMoments
				&& reachesThreshold(history.attributedWeight(this.histories.values()), extraCrashes)
				&& !isExplainedByOne(history);
	}

	// The one request that crashes targets shares parts of its prompt with harmless
	// requests, which must not be refused with it.
	private boolean isExplainedByOne(CrashHistory history) {
		return this.moreSpecific.stream()
			.flatMap((registry) -> registry.histories.values().stream())
			.anyMatch((other) -> history.crashMomentsWithout(other) < MIN_UNEXPLAINED_MOMENTS);
	}

	// A part is shared by many requests, so that several of them are starting on the
	// targets of an outage. It must be on a good part of all targets that crash.
	private int extraCrashes(CrashHistory history, boolean outage, Set<String> recentTargetIds) {
		if (this.kind == SuspectKind.REQUEST) {
			return outage ? 1 : 0;
		}
		return Math.min(MAX_EXTRA_CRASHES, countUnexplainedTargets(List.of(history), recentTargetIds) / OUTAGE_TARGETS);
	}

	private Set<String> recentTargetIds(long nowNanos) {
		final Set<String> targetIds = new HashSet<>();
		this.histories.values()
			.stream()
			.filter((history) -> history.lastCrashAgeNanos(nowNanos) < OUTAGE_WINDOW_NANOS)
			.forEach((history) -> targetIds.addAll(history.targetIds()));
		return targetIds;
	}

	private static int countUnexplainedTargets(List<CrashHistory> explaining, Set<String> recentTargetIds) {
		final Set<String> targetIds = new HashSet<>(recentTargetIds);
		explaining.forEach((history) -> targetIds.removeAll(history.targetIds()));
		return targetIds.size();
	}

	private boolean reachesThreshold(int weight, int extraCrashes) {
		return weight >= (this.crashesToQuarantine + extraCrashes) * CrashPhase.STARTING.weight();
	}

	private CrashHistory getOrCreate(long nowNanos, String fingerprint) {
		final CrashHistory known = this.histories.get(fingerprint);
		if (known != null) {
			return known;
		}
		if (this.histories.size() >= MAX_REQUESTS) {
			evictWeakest(nowNanos);
		}
		final CrashHistory added = new CrashHistory(this.kind, fingerprint);
		this.histories.put(fingerprint, added);
		return added;
	}

	private void evictWeakest(long nowNanos) {
		final Comparator<Map.Entry<String, CrashHistory>> byStrength = Comparator
			.comparingInt((Map.Entry<String, CrashHistory> entry) -> entry.getValue().weight())
			.thenComparing((entry) -> -entry.getValue().lastCrashAgeNanos(nowNanos));
		this.histories.entrySet().stream().min(byStrength).map(Map.Entry::getKey).ifPresent((fingerprint) -> {
			this.histories.remove(fingerprint);
			this.quarantined.remove(fingerprint);
		});
	}

	/**
	 * Expires suspicions and quarantines.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param explainedTargetIds targets whose crashes a request here may explain, so that
	 * it is retained
	 */
	void onTick(long nowNanos, Set<String> explainedTargetIds) {
		if (nowNanos - this.lastExpiryNanos < EXPIRY_INTERVAL_NANOS) {
			return;
		}
		this.lastExpiryNanos = nowNanos;
		this.histories.values().removeIf((history) -> {
			final long retentionNanos = history.wasQuarantined() ? QUARANTINED_RETENTION_NANOS
					: SUSPECT_RETENTION_NANOS;
			return history.lastCrashAgeNanos(nowNanos) >= retentionNanos
					&& Collections.disjoint(history.targetIds(), explainedTargetIds);
		});
		if (!this.quarantined.isEmpty()) {
			updateQuarantines(nowNanos);
		}
	}

	/**
	 * Returns the targets whose crashes are held against a suspect.
	 * @return their ids
	 */
	Set<String> targetIds() {
		final Set<String> targetIds = new HashSet<>();
		this.histories.values().forEach((history) -> targetIds.addAll(history.targetIds()));
		return targetIds;
	}

	/**
	 * Selects the requests for the next heartbeat, least often sent first, and counts
	 * them as sent.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return at most {@link #MAX_SAMPLED} requests with their evidence
	 */
	List<SuspectedRequest> gossipSample(long nowNanos) {
		return this.histories.values()
			.stream()
			.filter(CrashHistory::shouldGossip)
			.filter((history) -> history.sendCount() < EAGER_SENDS
					|| nowNanos - history.lastSentNanos() >= RESEND_INTERVAL_NANOS)
			.sorted(Comparator.comparingInt((CrashHistory history) -> Math.min(EAGER_SENDS, history.sendCount()))
				.thenComparingLong((history) -> history.lastSentNanos() - nowNanos))
			.limit(MAX_SAMPLED)
			.map((history) -> history.recordSend(nowNanos))
			.toList();
	}

	/**
	 * Selects those of the given requests that are worth sending to peers, strongest
	 * evidence first, and counts them as sent.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param fingerprints the requests' fingerprints
	 * @return at most {@link #MAX_SAMPLED} requests with their evidence
	 */
	List<SuspectedRequest> select(long nowNanos, Set<String> fingerprints) {
		return fingerprints.stream()
			.map(this.histories::get)
			.filter((history) -> history != null && history.shouldGossip())
			.sorted(Comparator.comparingInt((CrashHistory history) -> -history.weight()))
			.limit(MAX_SAMPLED)
			.map((history) -> history.recordSend(nowNanos))
			.toList();
	}

	/**
	 * Returns the requests to send to a daemon that has just started, strongest evidence
	 * first.
	 * @return at most {@link #MAX_KNOWN_SUSPECTS} requests with their evidence
	 */
	List<SuspectedRequest> knownSuspects() {
		return this.histories.values()
			.stream()
			.filter(CrashHistory::shouldGossip)
			.sorted(Comparator.comparingInt((CrashHistory history) -> -history.weight()))
			.limit(MAX_KNOWN_SUSPECTS)
			.map(CrashHistory::toSuspectedRequest)
			.toList();
	}

	Map<String, Set<String>> targetIdsByFingerprint() {
		final Map<String, Set<String>> targetIds = new LinkedHashMap<>();
		this.histories.forEach((fingerprint, history) -> targetIds.put(fingerprint, history.targetIds()));
		return targetIds;
	}

	List<CrashReport> reports(long nowNanos) {
		final List<CrashReport> reports = new ArrayList<>();
		this.histories.forEach((fingerprint,
				history) -> reports.add(new CrashReport(this.kind, fingerprint, this.quarantined.contains(fingerprint),
						history.targetIds(), history.crashMoments(),
						history.lastCrashAgeNanos(nowNanos) / NANOS_PER_MILLI)));
		return reports;
	}

}
