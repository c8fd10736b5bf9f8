package org.pistachioline.core.quarantine;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The suspects of one kind: the crashes held against them, the answers that excuse them,
 * and the changes that other daemons have not been sent yet.
 */
final class CrashSuspects {

	private final CrashRegistry registry;

	private final RecentAnswers recentAnswers = new RecentAnswers();

	private final Set<String> pendingBroadcast = new LinkedHashSet<>();

	CrashSuspects(CrashRegistry registry) {
		this.registry = registry;
	}

	/**
	 * Records a crash, unless an answer excuses the suspect.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param suspect the request's fingerprint or the part's id; ignored if empty
	 * @param targetId the target that crashed
	 * @param phase how far the suspect had progressed on the target
	 */
	void onCrash(long nowNanos, String suspect, String targetId, CrashPhase phase) {
		final boolean blamed = !suspect.isEmpty() && !this.recentAnswers.excuse(suspect, nowNanos);
		if (blamed && this.registry.add(nowNanos, suspect, new CrashEvidence(targetId, nowNanos, phase, false))) {
			this.pendingBroadcast.add(suspect);
		}
	}

	/**
	 * Merges another daemon's evidence, which may blame a suspect that this daemon has
	 * seen answered meanwhile.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param reported the suspect with its evidence
	 * @return whether it changed what is known of the suspect
	 */
	boolean merge(long nowNanos, SuspectedRequest reported) {
		boolean changed = false;
		for (final CrashEvidence evidence : reported.evidence()) {
			changed |= merge(nowNanos, reported.fingerprint(), evidence);
		}
		return changed;
	}

	private boolean merge(long nowNanos, String suspect, CrashEvidence evidence) {
		final boolean excusable = !evidence.excused() && this.recentAnswers.excuse(suspect, evidence.crashedAtNanos());
		if (!excusable) {
			return this.registry.add(nowNanos, suspect, evidence);
		}
		final boolean changed = this.registry.add(nowNanos, suspect, evidence.asExcused());
		if (changed) {
			this.pendingBroadcast.add(suspect);
		}
		return changed;
	}

	/**
	 * Records an answer that shows that the suspect does not crash targets.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param suspect the request's fingerprint or the part's id; ignored if empty
	 */
	void onAnswer(long nowNanos, String suspect) {
		if (!suspect.isEmpty()) {
			this.recentAnswers.record(nowNanos, suspect);
			excuse(suspect);
		}
	}

	/**
	 * Excuses all recorded crashes of a suspect.
	 * @param suspect the request's fingerprint or the part's id
	 */
	void excuse(String suspect) {
		if (this.registry.excuse(suspect)) {
			this.pendingBroadcast.add(suspect);
		}
	}

	/**
	 * Returns and clears the changed suspects that are to be sent to all other daemons.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the suspects with their evidence
	 */
	List<SuspectedRequest> drainBroadcast(long nowNanos) {
		if (this.pendingBroadcast.isEmpty()) {
			return List.of();
		}
		final List<SuspectedRequest> selected = this.registry.select(nowNanos, this.pendingBroadcast);
		this.pendingBroadcast.clear();
		return selected;
	}

	CrashRegistry registry() {
		return this.registry;
	}

}
