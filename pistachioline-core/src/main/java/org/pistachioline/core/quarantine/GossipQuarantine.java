package org.pistachioline.core.quarantine;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

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
 * required. Suspects are not isolated, nor held back beyond a short retry delay, since
 * every unrelated crash would then delay its whole batch.
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

	private final Set<String> pendingBroadcast = new LinkedHashSet<>();

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
		this.registry = new CrashRegistry(crashesToQuarantine);
	}

	@Override
	public boolean isQuarantined(String fingerprint) {
		return this.registry.isQuarantined(fingerprint);
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
	public long retryDelayNanos(String fingerprint) {
		return this.registry.isSuspected(fingerprint) ? RETRY_DELAY_NANOS : 0;
	}

	@Override
	public void onCrash(long nowNanos, TargetCrash crash) {
		crash.startingFingerprints().forEach((fingerprint) -> add(nowNanos, fingerprint, crash, CrashPhase.STARTING));
		crash.inProgressFingerprints()
			.forEach((fingerprint) -> add(nowNanos, fingerprint, crash, CrashPhase.IN_PROGRESS));
		this.registry.updateQuarantines(nowNanos);
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
				changed |= this.registry.add(nowNanos, request.fingerprint(), evidence);
			}
		}
		if (changed) {
			this.registry.updateQuarantines(nowNanos);
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
	}

	@Override
	public Set<String> quarantined() {
		return this.registry.quarantined();
	}

	@Override
	public List<SuspectedRequest> drainBroadcast(long nowNanos) {
		if (this.pendingBroadcast.isEmpty()) {
			return List.of();
		}
		final List<SuspectedRequest> suspects = this.registry.select(nowNanos, this.pendingBroadcast);
		this.pendingBroadcast.clear();
		return suspects;
	}

	@Override
	public List<SuspectedRequest> gossipSample(long nowNanos) {
		return this.registry.gossipSample(nowNanos);
	}

	@Override
	public List<SuspectedRequest> knownSuspects() {
		return this.registry.knownSuspects();
	}

	@Override
	public List<CrashReport> reports(long nowNanos) {
		return this.registry.reports(nowNanos);
	}

	@Override
	public Map<String, Set<String>> suspects() {
		return this.registry.targetIdsByFingerprint();
	}

}
