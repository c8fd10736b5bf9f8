package org.pistachioline.core.quarantine;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Quarantines requests on crash evidence that daemons exchange directly, by broadcast and
 * with heartbeats.
 * <p>
 * Serves daemons without a replicated log, in front of targets that also crash every few
 * seconds for unrelated reasons. A broken connection alone is no evidence: the target
 * must have been confirmed dead. Requests that ran beside the culprit, or on a target
 * that crashed for another reason, were mostly in progress, which weighs half; a crash
 * that another request explains better does not count; and one run without a crash
 * excuses all earlier crashes. Hence {@value #CRASHES_TO_QUARANTINE} crashes are
 * required. The parts of prompts that requests share are judged in the same way, so that
 * requests which have only a harmful part in common are recognized; an answer past its
 * starting phase clears all parts of its prompt. Suspects are not isolated, nor held back
 * beyond a short retry delay, since every unrelated crash would then delay its whole
 * batch.
 */
public final class GossipQuarantine implements QuarantinePolicy {

	/** How many targets must crash while starting a request to quarantine it. */
	public static final int CRASHES_TO_QUARANTINE = 3;

	/**
	 * Delay before a suspect is sent again, by which a crash of the last target is
	 * confirmed. Without it a request that crashes targets would reach one more before it
	 * is quarantined.
	 */
	private static final long RETRY_DELAY_NANOS = 150_000_000L;

	private final CrashRegistry registry;

	private final CrashRegistry promptParts;

	private final RecentAnswers recentAnswers = new RecentAnswers();

	private final Set<String> pendingBroadcast = new LinkedHashSet<>();

	private final Set<String> pendingPartBroadcast = new LinkedHashSet<>();

	/**
	 * Creates a policy without evidence.
	 */
	public GossipQuarantine() {
		this(CRASHES_TO_QUARANTINE);
	}

	/**
	 * Creates a policy without evidence.
	 * @param crashesToQuarantine how many targets must crash while starting a request to
	 * quarantine it
	 */
	public GossipQuarantine(int crashesToQuarantine) {
		this.registry = new CrashRegistry(SuspectKind.REQUEST, crashesToQuarantine);
		this.promptParts = new CrashRegistry(SuspectKind.PROMPT_PART, crashesToQuarantine);
	}

	@Override
	public boolean isQuarantined(String fingerprint) {
		return this.registry.isQuarantined(fingerprint);
	}

	@Override
	public Optional<SuspectKind> quarantinedBy(String fingerprint, List<String> parts) {
		if (isQuarantined(fingerprint)) {
			return Optional.of(SuspectKind.REQUEST);
		}
		return parts.stream().anyMatch(this.promptParts::isQuarantined) ? Optional.of(SuspectKind.PROMPT_PART)
				: Optional.empty();
	}

	@Override
	public boolean isSuspect(String fingerprint) {
		return false;
	}

	@Override
	public boolean isTrusted(String fingerprint) {
		return true;
	}

	@Override
	public CrashVerdict onBrokenAttempt(long nowNanos, String fingerprint, String targetId) {
		// Whether the target of the broken connection has crashed is not known yet.
		return CrashVerdict.EXCUSED;
	}

	@Override
	public long retryDelayNanos(String fingerprint, List<String> parts) {
		final boolean suspected = this.registry.isSuspected(fingerprint)
				|| parts.stream().anyMatch(this.promptParts::isSuspected);
		return suspected ? RETRY_DELAY_NANOS : 0;
	}

	@Override
	public void onCrash(long nowNanos, TargetCrash crash) {
		crash.startingFingerprints().forEach((fingerprint) -> add(nowNanos, fingerprint, crash, CrashPhase.STARTING));
		crash.inProgressFingerprints()
			.forEach((fingerprint) -> add(nowNanos, fingerprint, crash, CrashPhase.IN_PROGRESS));
		crash.startingPromptParts().forEach((part) -> addPart(nowNanos, part, crash));
		updateQuarantines(nowNanos);
	}

	private void updateQuarantines(long nowNanos) {
		this.registry.updateQuarantines(nowNanos);
		this.promptParts.updateQuarantines(nowNanos, this.registry.recentTargetIds(nowNanos));
	}

	private void addPart(long nowNanos, String part, TargetCrash crash) {
		final boolean excused = this.recentAnswers.excuse(part, nowNanos);
		if (!excused && this.promptParts.add(nowNanos, part,
				new CrashEvidence(crash.targetId(), nowNanos, CrashPhase.STARTING, false))) {
			this.pendingPartBroadcast.add(part);
		}
	}

	private void add(long nowNanos, String fingerprint, TargetCrash crash, CrashPhase phase) {
		if (!fingerprint.isEmpty() && this.registry.add(nowNanos, fingerprint,
				new CrashEvidence(crash.targetId(), nowNanos, phase, false))) {
			this.pendingBroadcast.add(fingerprint);
		}
	}

	@Override
	public void onPeerReports(long nowNanos, List<SuspectedRequest> suspects) {
		boolean changed = false;
		for (final SuspectedRequest request : suspects) {
			for (final CrashEvidence evidence : request.evidence()) {
				changed |= (request.kind() == SuspectKind.PROMPT_PART)
						? mergePart(nowNanos, request.fingerprint(), evidence)
						: this.registry.add(nowNanos, request.fingerprint(), evidence);
			}
		}
		if (changed) {
			updateQuarantines(nowNanos);
		}
	}

	// Another daemon may blame a part that this one has seen answered meanwhile.
	private boolean mergePart(long nowNanos, String part, CrashEvidence evidence) {
		final boolean excusable = !evidence.excused() && this.recentAnswers.excuse(part, evidence.crashedAtNanos());
		if (!excusable) {
			return this.promptParts.add(nowNanos, part, evidence);
		}
		final boolean changed = this.promptParts.add(nowNanos, part, evidence.asExcused());
		if (changed) {
			this.pendingPartBroadcast.add(part);
		}
		return changed;
	}

	@Override
	public void onAnswer(long nowNanos, List<String> parts) {
		for (final String part : parts) {
			this.recentAnswers.record(nowNanos, part);
			if (this.promptParts.excuse(part)) {
				this.pendingPartBroadcast.add(part);
			}
		}
	}

	@Override
	public void onRunPastCrash(String fingerprint, boolean completed) {
		this.registry.excuse(fingerprint);
	}

	@Override
	public void onErrorResponse(String fingerprint) {
		this.registry.excuse(fingerprint);
	}

	@Override
	public void onLogState(long nowNanos, Set<String> quarantined, Map<String, String> suspectTargetIds) {
		// Daemons with this policy share no replicated log.
	}

	@Override
	public void onTick(long nowNanos) {
		this.registry.onTick(nowNanos);
		this.promptParts.onTick(nowNanos);
	}

	@Override
	public Set<String> quarantined() {
		return union(this.registry.quarantined(), this.promptParts.quarantined());
	}

	@Override
	public List<SuspectedRequest> drainBroadcast(long nowNanos) {
		if (this.pendingBroadcast.isEmpty() && this.pendingPartBroadcast.isEmpty()) {
			return List.of();
		}
		final List<SuspectedRequest> suspects = concat(this.registry.select(nowNanos, this.pendingBroadcast),
				this.promptParts.select(nowNanos, this.pendingPartBroadcast));
		this.pendingBroadcast.clear();
		this.pendingPartBroadcast.clear();
		return suspects;
	}

	@Override
	public List<SuspectedRequest> gossipSample(long nowNanos) {
		return concat(this.registry.gossipSample(nowNanos), this.promptParts.gossipSample(nowNanos));
	}

	@Override
	public List<SuspectedRequest> knownSuspects() {
		return concat(this.registry.knownSuspects(), this.promptParts.knownSuspects());
	}

	@Override
	public List<CrashReport> reports(long nowNanos) {
		return concat(this.registry.reports(nowNanos), this.promptParts.reports(nowNanos));
	}

	@Override
	public Map<String, Set<String>> suspects() {
		return this.registry.targetIdsByFingerprint();
	}

	private static <T> List<T> concat(List<T> first, List<T> second) {
		return second.isEmpty() ? first : Stream.concat(first.stream(), second.stream()).toList();
	}

	private static Set<String> union(Set<String> first, Set<String> second) {
		return second.isEmpty() ? first
				: Stream.concat(first.stream(), second.stream()).collect(Collectors.toUnmodifiableSet());
	}

}
