package org.pistachioline.core.stream;

/**
 * Decides when a daemon appends a checkpoint of a stream.
 * <p>
 * The log drops old entries. If the oldest entry that the state rests on went before a
 * checkpoint covers it, a daemon that starts afterwards could not know the state and
 * would stay not ready. The first-ranked daemon therefore writes when that entry has
 * reached a quarter of its life, which leaves three quarters for outages of the log. Each
 * further rank waits a thirty-second of the life more, so that a dead or paused first
 * choice is made up for and yet 370 daemons do not write at once; ranks past the
 * sixteenth wait no longer, as then most daemons are cut off from the log. A stream with
 * many entries gets its checkpoint sooner, so that a start need not fold them all.
 * <p>
 * Example: with a retention of 24 hours the first choice writes every 6 hours, the second
 * after 6 hours and 45 minutes if the first did not.
 */
public final class CheckpointPolicy {

	private static final int FIRST_WRITE_DIVISOR = 4;

	private static final int RANK_DELAY_DIVISOR = 32;

	private static final int MAX_DELAYED_RANK = 16;

	private final long retentionMillis;

	private final long maxEntries;

	/**
	 * Creates a policy.
	 * @param retentionMillis how long the log keeps an entry
	 * @param maxEntries how many entries may follow the newest checkpoint
	 */
	public CheckpointPolicy(long retentionMillis, long maxEntries) {
		this.retentionMillis = retentionMillis;
		this.maxEntries = maxEntries;
	}

	/**
	 * Decides whether to write now.
	 * @param cover what the newest checkpoint covers
	 * @param nextOffset the next offset of the stream
	 * @param rank this daemon's rank among the live ones for the stream, from 0
	 * @param nowMillis the wall-clock time
	 * @return whether to write
	 */
	public boolean isDue(CheckpointCoverage cover, long nextOffset, int rank, long nowMillis) {
		final long uncovered = nextOffset - (cover.throughOffset() + 1);
		if (uncovered <= 0 || cover.oldestUncoveredMillis() == 0) {
			return false;
		}
		final int waits = Math.min(rank, MAX_DELAYED_RANK);
		if (uncovered >= this.maxEntries * (waits + 1L)) {
			return true;
		}
		final long dueAgeMillis = this.retentionMillis / FIRST_WRITE_DIVISOR
				+ waits * (this.retentionMillis / RANK_DELAY_DIVISOR);
		return nowMillis - cover.oldestUncoveredMillis() >= dueAgeMillis;
	}

}
