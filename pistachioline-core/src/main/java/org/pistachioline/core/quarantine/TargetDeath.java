package org.pistachioline.core.quarantine;

/**
 * The death of one target while it ran a request.
 *
 * @param targetId the target
 * @param diedAtNanos when it died, by this daemon's monotonic clock
 * @param phase how far it had come with the request
 * @param excused whether the request has run to its end since, so that it is not the
 * cause
 */
public record TargetDeath(String targetId, long diedAtNanos, DeathPhase phase, boolean excused) {

	/**
	 * Puts together what two daemons know of the same death. The result does not depend
	 * on who asks whom, and how often.
	 * @param other the same death
	 * @return the earlier time, the earlier phase, and excused if either is
	 */
	TargetDeath with(TargetDeath other) {
		final boolean earlier = other.diedAtNanos - this.diedAtNanos < 0;
		final DeathPhase first = (other.phase == DeathPhase.BEGINNING) ? other.phase : this.phase;
		return new TargetDeath(this.targetId, earlier ? other.diedAtNanos : this.diedAtNanos, first,
				this.excused || other.excused);
	}

	TargetDeath excuse() {
		return new TargetDeath(this.targetId, this.diedAtNanos, this.phase, true);
	}

	int weight() {
		return this.excused ? 0 : this.phase.weight();
	}

}
