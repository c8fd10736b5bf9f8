package org.pistachioline.core.quarantine;

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
 * that another request explains better does not count; targets that crash at the same
 * moment have a common cause; and one run without a crash excuses all earlier crashes and
 * those shortly after it. Hence {@value #CRASHES_TO_QUARANTINE} crashes at different
 * moments are required. The parts of prompts that requests share are judged in the same
 * way, so that requests which have only a harmful part in common are recognized, unless
 * one request explains the crashes of a part; an answer past its starting phase clears
 * all parts of its prompt. Suspects are not isolated, nor held back for longer than a
 * moment or a short retry delay, since every unrelated crash would then delay its whole
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

	private final CrashSuspects requests;

	private final CrashSuspects promptParts;

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
		this.requests = new CrashSuspects(new CrashRegistry(crashesToQuarantine));
		this.promptParts = new CrashSuspects(CrashRegistry.ofPromptParts(this.requests.registry()));
	}

	@Override
	public boolean isQuarantined(String fingerprint) {
		return this.requests.registry().isQuarantined(fingerprint);
	}

	@Override
	public Optional<SuspectKind> quarantinedBy(String fingerprint, List<String> parts) {
		if (isQuarantined(fingerprint)) {
			return Optional.of(SuspectKind.REQUEST);
		}
		return parts.stream().anyMatch(this.promptParts.registry()::isQuarantined)
				? Optional.of(SuspectKind.PROMPT_PART) : Optional.empty();
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
		final boolean suspected = this.requests.registry().isSuspected(fingerprint)
				|| parts.stream().anyMatch(this.promptParts.registry()::isSuspected);
		return suspected ? RETRY_DELAY_NANOS : 0;
	}

	@Override
	public long holdNanos(long nowNanos, String fingerprint, List<String> parts) {
		return parts.stream()
			.mapToLong((part) -> this.promptParts.registry().holdNanos(nowNanos, part))
			.reduce(this.requests.registry().holdNanos(nowNanos, fingerprint), Math::max);
	}

	@Override
	public void onCrash(long nowNanos, TargetCrash crash) {
		final String targetId = crash.targetId();
		crash.startingFingerprints()
			.forEach((request) -> this.requests.onCrash(nowNanos, request, targetId, CrashPhase.STARTING));
		crash.inProgressFingerprints()
			.forEach((request) -> this.requests.onCrash(nowNanos, request, targetId, CrashPhase.IN_PROGRESS));
		crash.startingPromptParts()
			.forEach((part) -> this.promptParts.onCrash(nowNanos, part, targetId, CrashPhase.STARTING));
		updateQuarantines(nowNanos);
	}

	private void updateQuarantines(long nowNanos) {
		this.requests.registry().updateQuarantines(nowNanos);
		this.promptParts.registry().updateQuarantines(nowNanos);
	}

	@Override
	public void onPeerReports(long nowNanos, List<SuspectedRequest> suspects) {
		boolean changed = false;
		for (final SuspectedRequest suspect : suspects) {
			changed |= suspectsOf(suspect.kind()).merge(nowNanos, suspect);
		}
		if (changed) {
			updateQuarantines(nowNanos);
		}
	}

	private CrashSuspects suspectsOf(SuspectKind kind) {
		return (kind == SuspectKind.PROMPT_PART) ? this.promptParts : this.requests;
	}

	@Override
	public void onAnswer(long nowNanos, List<String> parts) {
		parts.forEach((part) -> this.promptParts.onAnswer(nowNanos, part));
	}

	@Override
	public void onRunPastCrash(long nowNanos, String fingerprint, boolean completed) {
		this.requests.onAnswer(nowNanos, fingerprint);
	}

	@Override
	public void onErrorResponse(String fingerprint) {
		this.requests.excuse(fingerprint);
	}

	@Override
	public void onLogState(long nowNanos, Set<String> quarantined, Map<String, String> suspectTargetIds) {
		// Daemons with this policy share no replicated log.
	}

	@Override
	public void onTick(long nowNanos) {
		this.promptParts.registry().onTick(nowNanos, Set.of());
		this.requests.registry().onTick(nowNanos, this.promptParts.registry().targetIds());
	}

	@Override
	public Set<String> quarantined() {
		return union(this.requests.registry().quarantined(), this.promptParts.registry().quarantined());
	}

	@Override
	public List<SuspectedRequest> drainBroadcast(long nowNanos) {
		return concat(this.requests.drainBroadcast(nowNanos), this.promptParts.drainBroadcast(nowNanos));
	}

	@Override
	public List<SuspectedRequest> gossipSample(long nowNanos) {
		return concat(this.requests.registry().gossipSample(nowNanos),
				this.promptParts.registry().gossipSample(nowNanos));
	}

	@Override
	public List<SuspectedRequest> knownSuspects() {
		return concat(this.requests.registry().knownSuspects(), this.promptParts.registry().knownSuspects());
	}

	@Override
	public List<CrashReport> reports(long nowNanos) {
		return concat(this.requests.registry().reports(nowNanos), this.promptParts.registry().reports(nowNanos));
	}

	@Override
	public Map<String, Set<String>> suspects() {
		return this.requests.registry().targetIdsByFingerprint();
	}

	private static <T> List<T> concat(List<T> first, List<T> second) {
		return second.isEmpty() ? first : Stream.concat(first.stream(), second.stream()).toList();
	}

	private static Set<String> union(Set<String> first, Set<String> second) {
		return second.isEmpty() ? first
				: Stream.concat(first.stream(), second.stream()).collect(Collectors.toUnmodifiableSet());
	}

}
