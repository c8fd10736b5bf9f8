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
 * it. So {@value #DEATHS_TO_QUARANTINE} deaths are needed, and what has met its first is
 * kept neither waiting nor apart: after each plain crash its whole batch would be late.
 */
public final class SharedDeaths implements KillerPolicy {

	/** How many targets that die as they begin with a request bar it. */
	public static final int DEATHS_TO_QUARANTINE = 3;

	/**
	 * By then it is known whether the target has died. Sent on at once, a request that
	 * has crashed targets would reach one more before it is barred.
	 */
	private static final long PAUSE_NANOS = 150_000_000L;

	private final DeathBook book;

	private final Set<String> news = new LinkedHashSet<>();

	/**
	 * Creates a policy that knows of no death.
	 */
	public SharedDeaths() {
		this(DEATHS_TO_QUARANTINE);
	}

	/**
	 * Creates a policy that knows of no death.
	 * @param deathsToQuarantine how many targets must die under a request
	 */
	public SharedDeaths(int deathsToQuarantine) {
		this.book = new DeathBook(deathsToQuarantine);
	}

	@Override
	public boolean isQuarantined(String fingerprint) {
		return this.book.isQuarantined(fingerprint);
	}

	@Override
	public boolean isSuspect(String fingerprint) {
		return false;
	}

	@Override
	public boolean isProven(String fingerprint) {
		return true;
	}

	@Override
	public DeathVerdict onDeath(long nowNanos, String fingerprint, String targetId) {
		// The connection broke, and whether its target has died is not known yet.
		return DeathVerdict.EXCUSED;
	}

	@Override
	public long pauseNanos(String fingerprint) {
		return this.book.isSuspected(fingerprint) ? PAUSE_NANOS : 0;
	}

	@Override
	public void onCrash(long nowNanos, TargetCrash crash) {
		crash.beginning().forEach((fingerprint) -> add(nowNanos, fingerprint, crash, DeathPhase.BEGINNING));
		crash.underWay().forEach((fingerprint) -> add(nowNanos, fingerprint, crash, DeathPhase.UNDER_WAY));
		this.book.judge(nowNanos);
	}

	private void add(long nowNanos, String fingerprint, TargetCrash crash, DeathPhase phase) {
		if (!fingerprint.isEmpty()
				&& this.book.add(nowNanos, fingerprint, new TargetDeath(crash.targetId(), nowNanos, phase, false))) {
			this.news.add(fingerprint);
		}
	}

	@Override
	public void onTold(long nowNanos, List<SuspectedRequest> told) {
		boolean news = false;
		for (final SuspectedRequest request : told) {
			for (final TargetDeath death : request.deaths()) {
				news |= this.book.add(nowNanos, request.fingerprint(), death);
			}
		}
		if (news) {
			this.book.judge(nowNanos);
		}
	}

	@Override
	public void onSurvived(String fingerprint, boolean completed) {
		this.book.excuse(fingerprint);
	}

	@Override
	public void onAnswered(String fingerprint) {
		this.book.excuse(fingerprint);
	}

	@Override
	public void onAgreed(long nowNanos, Set<String> quarantined, Map<String, String> suspectTargetIds) {
		// There is no log on which daemons agree.
	}

	@Override
	public void onTick(long nowNanos) {
		this.book.onTick(nowNanos);
	}

	@Override
	public Set<String> quarantined() {
		return this.book.quarantined();
	}

	@Override
	public List<SuspectedRequest> takeNews(long nowNanos) {
		if (this.news.isEmpty()) {
			return List.of();
		}
		final List<SuspectedRequest> told = this.book.tell(nowNanos, this.news);
		this.news.clear();
		return told;
	}

	@Override
	public List<SuspectedRequest> sample(long nowNanos) {
		return this.book.sample(nowNanos);
	}

	@Override
	public List<SuspectedRequest> known() {
		return this.book.known();
	}

	@Override
	public List<DeathReport> reports(long nowNanos) {
		return this.book.reports(nowNanos);
	}

	@Override
	public Map<String, Set<String>> suspects() {
		return this.book.targetIds();
	}

}
