package org.pistachioline.core.quarantine;

/**
 * The death of one target while it ran a request.
 *
 * @param targetId the target
 * @param crashedAtNanos when it died, by this daemon's monotonic clock
 * @param phase how far it had come with the request
 * @param excused whether the request has run to its end since, so that it is not the
 * cause
 */
public record CrashEvidence(String targetId, long crashedAtNanos, CrashPhase phase, boolean excused) {

	/**
	 * Puts together what two daemons know of the same death. The result does not depend
	 * on who asks whom, and how often.
	 * @param other the same death
	 * @return the earlier time, the earlier phase, and excused if either is
	 */
	CrashEvidence merge(CrashEvidence other) {
		final boolean earlier = other.crashedAtNanos - this.crashedAtNanos < 0;
		final CrashPhase first = (other.phase == CrashPhase.STARTING) ? other.phase : this.phase;
		return new CrashEvidence(this.targetId, earlier ? other.crashedAtNanos : this.crashedAtNanos, first,
				this.excused || other.excused);
	}

	CrashEvidence asExcused() {
		return new CrashEvidence(this.targetId, this.crashedAtNanos, this.phase, true);
	}

	int weight() {
		return this.excused ? 0 : this.phase.weight();
	}

}
