package org.pistachioline.core.presence;

import java.util.List;

/**
 * What one daemon tells another of a group; times are ages, since their clocks differ.
 *
 * @param epoch the group's epoch, which no other group has
 * @param provenAgeMillis the age of the proof; negative where there is none
 * @param deniedAgeMillis the age of the last contrary answer; negative where there is
 * none
 * @param roundAgeMillis the age of the newest question; negative where there was none
 * @param missingRanks the ranks that were missing then
 * @param running how many requests the group said to be running
 * @param waiting how many requests it said to be waiting
 * @param loadAgeMillis the age of that load; negative where there is none
 */
public record GroupDigest(long epoch, long provenAgeMillis, long deniedAgeMillis, long roundAgeMillis,
		List<Integer> missingRanks, int running, int waiting, long loadAgeMillis) {

	private static final long NANOS_PER_MILLI = 1_000_000;

	public GroupDigest {
		missingRanks = List.copyOf(missingRanks);
	}

	/**
	 * Tells what is known, with its ages.
	 * @param epoch the group's epoch
	 * @param proof what is known
	 * @param nowNanos the sender's monotonic time
	 * @return the digest
	 */
	public static GroupDigest of(long epoch, GroupProof proof, long nowNanos) {
		return new GroupDigest(epoch, olderMillis(proof.provenAtNanos(), nowNanos),
				youngerMillis(proof.deniedAtNanos(), nowNanos), olderMillis(proof.roundAtNanos(), nowNanos),
				proof.missingRanks(), proof.running(), proof.waiting(), olderMillis(proof.loadAtNanos(), nowNanos));
	}

	/**
	 * Takes what was told. The answer may have waited on its way for any time, but it was
	 * given after the question: so ages count from before the question was sent.
	 * @param askedAtNanos the receiver's monotonic time just before it asked
	 * @return what is known, on the receiver's clock
	 */
	public GroupProof toProof(long askedAtNanos) {
		return new GroupProof(atNanos(this.provenAgeMillis, askedAtNanos), atNanos(this.deniedAgeMillis, askedAtNanos),
				atNanos(this.roundAgeMillis, askedAtNanos), this.missingRanks, this.running, this.waiting,
				atNanos(this.loadAgeMillis, askedAtNanos));
	}

	private static long atNanos(long ageMillis, long askedAtNanos) {
		return (ageMillis < 0) ? GroupProof.NEVER : askedAtNanos - ageMillis * NANOS_PER_MILLI;
	}

	// A proof is told older than it is, never younger, by rounding up.
	private static long olderMillis(long atNanos, long nowNanos) {
		return (atNanos == GroupProof.NEVER) ? -1
				: Math.max(0, (nowNanos - atNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
	}

	private static long youngerMillis(long atNanos, long nowNanos) {
		return (atNanos == GroupProof.NEVER) ? -1 : Math.max(0, (nowNanos - atNanos) / NANOS_PER_MILLI);
	}

}
