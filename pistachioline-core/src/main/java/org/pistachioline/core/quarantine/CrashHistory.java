package org.pistachioline.core.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The crash evidence that this daemon knows against one request or part of prompts.
 */
final class CrashHistory {

	/** Sufficient to reach the quarantine threshold. */
	private static final int MAX_CRASHES = 8;

	private static final int NOT_CHECKED = -1;

	private final SuspectKind kind;

	private final String fingerprint;

	private final Map<String, CrashEvidence> evidenceByTargetId = new LinkedHashMap<>();

	private long lastCrashNanos;

	private int extraCrashes = NOT_CHECKED;

	/**
	 * Latest crash that an answer excused; at first long ago, and halved so that
	 * differences of times do not overflow.
	 */
	private long excusedThroughNanos = Long.MIN_VALUE / 2;

	private boolean quarantinedOnce;

	private int sendCount;

	private long lastSentNanos;

	CrashHistory(SuspectKind kind, String fingerprint) {
		this.kind = kind;
		this.fingerprint = fingerprint;
	}

	/**
	 * Merges evidence of a crash, observed here or reported by a peer. Excused evidence
	 * means that there was an answer after its crash or shortly before, which excuses all
	 * earlier crashes too.
	 * @param reported the evidence
	 * @return true if it changed what is known of the suspect
	 */
	boolean add(CrashEvidence reported) {
		final boolean excusedMore = reported.excused() && excuseThrough(reported.crashedAtNanos());
		final boolean excused = CrashMoments.isNotAfter(reported.crashedAtNanos(), this.excusedThroughNanos);
		final CrashEvidence evidence = excused ? reported.asExcused() : reported;
		final CrashEvidence existing = this.evidenceByTargetId.get(evidence.targetId());
		if (existing == null && !hasRoom(evidence)) {
			return excusedMore;
		}
		if (this.evidenceByTargetId.isEmpty() || evidence.crashedAtNanos() - this.lastCrashNanos > 0) {
			this.lastCrashNanos = evidence.crashedAtNanos();
		}
		final CrashEvidence merged = (existing != null) ? existing.merge(evidence) : evidence;
		this.evidenceByTargetId.put(evidence.targetId(), merged);
		// An earlier time of the same crash alone does not count as a change.
		return excusedMore || existing == null || existing.phase() != merged.phase()
				|| existing.excused() != merged.excused();
	}

	private boolean hasRoom(CrashEvidence added) {
		return this.evidenceByTargetId.size() < MAX_CRASHES
				|| (!added.excused() && (evictExcused() || evictRepeated(added)));
	}

	// A popular request that completes often may still begin to crash targets later, so
	// excused evidence makes room for new evidence.
	private boolean evictExcused() {
		final Optional<String> excused = this.evidenceByTargetId.values()
			.stream()
			.filter(CrashEvidence::excused)
			.map(CrashEvidence::targetId)
			.findFirst();
		excused.ifPresent(this.evidenceByTargetId::remove);
		return excused.isPresent();
	}

	// Crashes at the same moment are one piece of evidence, so all but one make room for
	// crashes at other moments. All daemons discard the same ones.
	private boolean evictRepeated(CrashEvidence added) {
		final Optional<String> repeated = Stream.concat(this.evidenceByTargetId.values().stream(), Stream.of(added))
			.filter((evidence) -> isRepeated(evidence, added))
			.map(CrashEvidence::targetId)
			.max(Comparator.naturalOrder());
		repeated.ifPresent(this.evidenceByTargetId::remove);
		return repeated.isPresent() && !repeated.get().equals(added.targetId());
	}

	private boolean isRepeated(CrashEvidence evidence, CrashEvidence added) {
		return Stream.concat(this.evidenceByTargetId.values().stream(), Stream.of(added))
			.filter((other) -> other != evidence)
			.anyMatch((other) -> CrashMoments.isSame(other.crashedAtNanos(), evidence.crashedAtNanos()));
	}

	/**
	 * Excuses all crashes, because a target has run the request without crashing.
	 * @return true if any evidence against the request was not excused before
	 */
	boolean excuse() {
		final OptionalLong latest = this.evidenceByTargetId.values()
			.stream()
			.mapToLong(CrashEvidence::crashedAtNanos)
			.max();
		return latest.isPresent() && excuseThrough(latest.getAsLong());
	}

	private boolean excuseThrough(long crashedAtNanos) {
		final int weightBefore = weight();
		this.excusedThroughNanos = Math.max(this.excusedThroughNanos, crashedAtNanos);
		this.evidenceByTargetId.replaceAll(
				(targetId, evidence) -> CrashMoments.isNotAfter(evidence.crashedAtNanos(), this.excusedThroughNanos)
						? evidence.asExcused() : evidence);
		if (weight() == 0) {
			this.extraCrashes = NOT_CHECKED;
			this.quarantinedOnce = false;
		}
		return weight() < weightBefore;
	}

	int weight() {
		return this.evidenceByTargetId.values().stream().mapToInt(CrashEvidence::weight).sum();
	}

	/**
	 * Returns the weight of the crashes attributed to this request. A crash counts
	 * nothing if another request that ran on the same target has more weight in total,
	 * and half if another has the same weight.
	 * @param others the histories of all requests
	 * @return the attributed weight
	 */
	int attributedWeight(Collection<CrashHistory> others) {
		final int ownWeight = weight();
		int sum = 0;
		for (final CrashEvidence evidence : this.evidenceByTargetId.values()) {
			final int strongestOther = others.stream()
				.filter((other) -> other != this && other.hasEvidence(evidence.targetId()))
				.mapToInt(CrashHistory::weight)
				.max()
				.orElse(0);
			if (strongestOther <= ownWeight) {
				sum += (strongestOther == ownWeight) ? evidence.weight() / 2 : evidence.weight();
			}
		}
		return sum;
	}

	/**
	 * Returns at how many different moments targets crashed.
	 * @return the number of moments
	 */
	int crashMoments() {
		return countMoments((evidence) -> true);
	}

	/**
	 * Returns at how many different moments targets crashed that a more specific suspect
	 * does not explain.
	 * @param other the more specific suspect
	 * @return the number of moments
	 */
	int crashMomentsWithout(CrashHistory other) {
		return countMoments((evidence) -> !other.explains(evidence.targetId()));
	}

	private int countMoments(Predicate<CrashEvidence> counted) {
		return CrashMoments.count(this.evidenceByTargetId.values()
			.stream()
			.filter((evidence) -> !evidence.excused())
			.filter(counted)
			.map(CrashEvidence::crashedAtNanos)
			.toList());
	}

	// Also evidence that is excused explains: an error response, after which this request
	// is no suspect, does not make its parts the cause.
	private boolean explains(String targetId) {
		final CrashEvidence evidence = this.evidenceByTargetId.get(targetId);
		return evidence != null && (evidence.phase() == CrashPhase.STARTING || this.quarantinedOnce);
	}

	void markQuarantined() {
		this.quarantinedOnce = true;
	}

	/**
	 * Returns whether the suspect was quarantined since it was last excused.
	 * @return true after a quarantine, also when that has ended
	 */
	boolean wasQuarantined() {
		return this.quarantinedOnce;
	}

	private boolean hasEvidence(String targetId) {
		final CrashEvidence evidence = this.evidenceByTargetId.get(targetId);
		return evidence != null && !evidence.excused();
	}

	/**
	 * Returns whether the evidence is strong enough to be sent to peers. Every unrelated
	 * crash leaves many requests with a single piece of in-progress evidence; these are
	 * not sent until a second one follows.
	 * @return true if peers should receive it
	 */
	boolean shouldGossip() {
		final int totalWeight = this.evidenceByTargetId.values()
			.stream()
			.mapToInt((evidence) -> evidence.phase().weight())
			.sum();
		return totalWeight >= CrashPhase.STARTING.weight();
	}

	String fingerprint() {
		return this.fingerprint;
	}

	Set<String> targetIds() {
		return Set.copyOf(this.evidenceByTargetId.keySet());
	}

	/**
	 * Returns the time since the last crash, excused or not.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the age in nanoseconds
	 */
	long lastCrashAgeNanos(long nowNanos) {
		return nowNanos - this.lastCrashNanos;
	}

	/**
	 * Returns how many further crashes are required because of an outage. A request keeps
	 * the first value, a part of prompts the highest one, since the evidence of the
	 * unrelated crashes expires earlier than that of the suspect.
	 * @param current the value for the present crashes of other targets
	 * @return the value that applies until the suspect is excused
	 */
	int raiseExtraCrashes(int current) {
		if (this.extraCrashes == NOT_CHECKED || this.kind == SuspectKind.PROMPT_PART) {
			this.extraCrashes = Math.max(this.extraCrashes, current);
		}
		return this.extraCrashes;
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
		return new SuspectedRequest(this.kind, this.fingerprint, List.copyOf(this.evidenceByTargetId.values()));
	}

}
