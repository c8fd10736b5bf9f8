package org.pistachioline.core.presence;

import java.util.List;

/**
 * What is known about a group's presence, from this daemon's probes and from other
 * daemons. Two proofs are merged field by field, so that the order and the repetition of
 * updates have no effect.
 *
 * @param provenAtNanos the time since which all members are proven to be ready: just
 * before the oldest of the probes that they responded to; {@link #NEVER} if they never
 * all were
 * @param deniedAtNanos the time of the last probe to which a member responded with
 * another state
 * @param roundAtNanos the time just before the newest probe
 * @param missingRanks the ranks that were missing at that probe
 * @param running the number of requests that the group reported as running
 * @param waiting the number of requests that the group reported as waiting
 * @param loadAtNanos the time just before the probe that reported this load
 */
public record GroupProof(long provenAtNanos, long deniedAtNanos, long roundAtNanos, List<Integer> missingRanks,
		int running, int waiting, long loadAtNanos) {

	/** Represents a time before all others. */
	public static final long NEVER = Long.MIN_VALUE / 2;

	/** The proof of a group that nothing is known about. */
	public static final GroupProof NONE = new GroupProof(NEVER, NEVER, NEVER, List.of(), 0, 0, NEVER);

	public GroupProof {
		missingRanks = List.copyOf(missingRanks);
	}

	/**
	 * Returns whether the group may serve: its proof is recent enough, and no later
	 * response contradicts it.
	 * @param maxProofAgeNanos the age at which a proof expires
	 * @param nowNanos the monotonic time
	 * @return whether it may serve
	 */
	public boolean mayServe(long maxProofAgeNanos, long nowNanos) {
		return nowNanos - this.provenAtNanos <= maxProofAgeNanos && this.deniedAtNanos < this.provenAtNanos;
	}

	/**
	 * Merges two proofs; the newer value of each field is kept.
	 * @param other the other proof
	 * @return the merged proof
	 */
	public GroupProof merge(GroupProof other) {
		final GroupProof newestRound = (other.roundAtNanos > this.roundAtNanos) ? other : this;
		final GroupProof newestLoad = (other.loadAtNanos > this.loadAtNanos) ? other : this;
		return new GroupProof(Math.max(this.provenAtNanos, other.provenAtNanos),
				Math.max(this.deniedAtNanos, other.deniedAtNanos), newestRound.roundAtNanos, newestRound.missingRanks,
				newestLoad.running, newestLoad.waiting, newestLoad.loadAtNanos);
	}

	GroupProof withRound(long probedAtNanos) {
		return new GroupProof(this.provenAtNanos, this.deniedAtNanos, Math.max(this.roundAtNanos, probedAtNanos),
				this.missingRanks, this.running, this.waiting, this.loadAtNanos);
	}

}
