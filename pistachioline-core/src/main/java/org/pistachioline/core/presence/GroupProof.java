package org.pistachioline.core.presence;

import java.util.List;

/**
 * What is known of one group's presence, from own probes and from other daemons; two are
 * merged field by field, so that neither the order nor a repeat of news matters.
 *
 * @param provenAtNanos since when all members are proven: the time before the oldest of
 * the questions that they answered; {@link #NEVER} where they never were
 * @param deniedAtNanos when a member was last asked that answered something else
 * @param roundAtNanos how new all this is: the time before the newest question
 * @param missingRanks the ranks that were missing then
 * @param running how many requests the group said to be running
 * @param waiting how many requests it said to be waiting
 * @param loadAtNanos when it was asked for its load
 */
public record GroupProof(long provenAtNanos, long deniedAtNanos, long roundAtNanos, List<Integer> missingRanks,
		int running, int waiting, long loadAtNanos) {

	/** Stands for a time before all others. */
	public static final long NEVER = Long.MIN_VALUE / 2;

	/** Nothing is known. */
	public static final GroupProof NONE = new GroupProof(NEVER, NEVER, NEVER, List.of(), 0, 0, NEVER);

	public GroupProof {
		missingRanks = List.copyOf(missingRanks);
	}

	/**
	 * Returns whether the group may serve.
	 * @param boundNanos the age at which a proof no longer counts
	 * @param nowNanos the monotonic time
	 * @return whether it may
	 */
	public boolean mayServe(long boundNanos, long nowNanos) {
		return nowNanos - this.provenAtNanos <= boundNanos && this.deniedAtNanos < this.provenAtNanos;
	}

	/**
	 * Returns the newest of both.
	 * @param other what else is known
	 * @return what is known together
	 */
	public GroupProof merge(GroupProof other) {
		final GroupProof round = (other.roundAtNanos > this.roundAtNanos) ? other : this;
		final GroupProof load = (other.loadAtNanos > this.loadAtNanos) ? other : this;
		return new GroupProof(Math.max(this.provenAtNanos, other.provenAtNanos),
				Math.max(this.deniedAtNanos, other.deniedAtNanos), round.roundAtNanos, round.missingRanks, load.running,
				load.waiting, load.loadAtNanos);
	}

	GroupProof withRound(long askedAtNanos) {
		return new GroupProof(this.provenAtNanos, this.deniedAtNanos, Math.max(this.roundAtNanos, askedAtNanos),
				this.missingRanks, this.running, this.waiting, this.loadAtNanos);
	}

}
