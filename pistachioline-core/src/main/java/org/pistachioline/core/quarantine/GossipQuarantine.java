package org.pistachioline.core.quarantine;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Quarantines a request after targets died under it at any daemons, which tell each other
 * directly.
 * <p>
 * Made for daemons without a log of their own, in front of targets that die every few
 * seconds for reasons of their own. A broken connection is no death: the target must have
 * been found dead. What ran beside the culprit, or on a target that died for another
 * reason, has mostly been answered for a while, which weighs half; a death that another
 * request explains better does not count; and one end in order excuses all deaths before
 * it. So {@value #CRASHES_TO_QUARANTINE} deaths are needed, and what has met its first is
 * kept neither waiting nor apart: after each plain crash its whole batch would be late.
 */
public final class GossipQuarantine implements QuarantinePolicy {

	/** How many targets that die as they begin with a request bar it. */
	public static final int CRASHES_TO_QUARANTINE = 3;

	/**
	 * By then it is known whether the target has died. Sent on at once, a request that
	 * has crashed targets would reach one more before it is barred.
	 */
	private static final long RETRY_DELAY_NANOS = 150_000_000L;

	private final CrashRegistry registry;

	private final Set<String> pendingBroadcast = new LinkedHashSet<>();

	/**
	 * Creates a policy that knows of no death.
	 */
	public GossipQuarantine() {
		this(CRASHES_TO_QUARANTINE);
	}

	/**
	 * Creates a policy that knows of no death.
	 * @param deathsToQuarantine how many targets must die under a request
	 */
	public GossipQuarantine(int deathsToQuarantine) {
		this.registry = new CrashRegistry(deathsToQuarantine);
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
		// The connection broke, and whether its target has died is not known yet.
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
	public void onPeerReports(long nowNanos, List<SuspectedRequest> told) {
		boolean news = false;
		for (final SuspectedRequest request : told) {
			for (final CrashEvidence death : request.evidence()) {
				news |= this.registry.add(nowNanos, request.fingerprint(), death);
			}
		}
		if (news) {
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
		// There is no log on which daemons agree.
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
		final List<SuspectedRequest> told = this.registry.select(nowNanos, this.pendingBroadcast);
		this.pendingBroadcast.clear();
		return told;
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
