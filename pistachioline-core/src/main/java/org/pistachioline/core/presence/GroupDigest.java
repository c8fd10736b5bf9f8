package org.pistachioline.core.presence;

import java.util.List;

/**
 * What one daemon reports to another about the presence of a group. Times are sent as
 * ages, since the daemons' monotonic clocks are unrelated.
 *
 * @param epoch the group's epoch, which is unique among all groups
 * @param provenAgeMillis the age of the proof; negative if there is none
 * @param deniedAgeMillis the age of the last response that contradicts the proof;
 * negative if there is none
 * @param roundAgeMillis the age of the newest probe; negative if there was none
 * @param missingRanks the ranks that were missing at that probe
 * @param running the number of requests that the group reported as running
 * @param waiting the number of requests that the group reported as waiting
 * @param loadAgeMillis the age of the reported load; negative if there is none
 */
public record GroupDigest(long epoch, long provenAgeMillis, long deniedAgeMillis, long roundAgeMillis,
		List<Integer> missingRanks, int running, int waiting, long loadAgeMillis) {

	private static final long NANOS_PER_MILLI = 1_000_000;

	public GroupDigest {
		missingRanks = List.copyOf(missingRanks);
	}

	/**
	 * Converts a proof to ages on the sender's clock.
	 * @param epoch the group's epoch
	 * @param proof the proof
	 * @param nowNanos the sender's monotonic time
	 * @return the digest
	 */
	public static GroupDigest of(long epoch, GroupProof proof, long nowNanos) {
		return new GroupDigest(epoch, olderMillis(proof.provenAtNanos(), nowNanos),
				youngerMillis(proof.deniedAtNanos(), nowNanos), olderMillis(proof.roundAtNanos(), nowNanos),
				proof.missingRanks(), proof.running(), proof.waiting(), olderMillis(proof.loadAtNanos(), nowNanos));
	}

	/**
	 * Converts the ages to times on the receiver's clock. A response may be in transit
	 * for any time, but it was created after the request was sent; ages are therefore
	 * counted from before the request, so that a proof never appears newer than it is.
	 * @param requestSentAtNanos the receiver's monotonic time just before it sent the
	 * request
	 * @return the proof
	 */
	public GroupProof toProof(long requestSentAtNanos) {
		return new GroupProof(atNanos(this.provenAgeMillis, requestSentAtNanos),
				atNanos(this.deniedAgeMillis, requestSentAtNanos), atNanos(this.roundAgeMillis, requestSentAtNanos),
				this.missingRanks, this.running, this.waiting, atNanos(this.loadAgeMillis, requestSentAtNanos));
	}

	private static long atNanos(long ageMillis, long requestSentAtNanos) {
		return (ageMillis < 0) ? GroupProof.NEVER : requestSentAtNanos - ageMillis * NANOS_PER_MILLI;
	}

	// Rounds up, so that a proof is reported as older than it is and never as newer.
	private static long olderMillis(long atNanos, long nowNanos) {
		return (atNanos == GroupProof.NEVER) ? -1
				: Math.max(0, (nowNanos - atNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
	}

	private static long youngerMillis(long atNanos, long nowNanos) {
		return (atNanos == GroupProof.NEVER) ? -1 : Math.max(0, (nowNanos - atNanos) / NANOS_PER_MILLI);
	}

}
