package org.pistachioline.core.quarantine;

/**
 * Evidence against a request: one target crashed while running it.
 *
 * @param targetId the target
 * @param crashedAtNanos when the target crashed, by this daemon's monotonic clock
 * @param phase how far the request had progressed on the target
 * @param excused whether a target has since run the request without crashing, which
 * clears it of this crash
 */
public record CrashEvidence(String targetId, long crashedAtNanos, CrashPhase phase, boolean excused) {

	/**
	 * Merges evidence of the same crash from two daemons. The operation is commutative,
	 * associative and idempotent.
	 * @param other evidence of the same crash
	 * @return the earlier time and phase, excused if either is
	 */
	CrashEvidence merge(CrashEvidence other) {
		final boolean otherIsEarlier = other.crashedAtNanos - this.crashedAtNanos < 0;
		final CrashPhase earlierPhase = (other.phase == CrashPhase.STARTING) ? other.phase : this.phase;
		return new CrashEvidence(this.targetId, otherIsEarlier ? other.crashedAtNanos : this.crashedAtNanos,
				earlierPhase, this.excused || other.excused);
	}

	CrashEvidence asExcused() {
		return new CrashEvidence(this.targetId, this.crashedAtNanos, this.phase, true);
	}

	int weight() {
		return this.excused ? 0 : this.phase.weight();
	}

}
