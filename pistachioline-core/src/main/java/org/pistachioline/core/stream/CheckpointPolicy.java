package org.pistachioline.core.stream;

/**
 * Decides when a daemon appends a checkpoint of a stream.
 * <p>
 * The log drops entries after its retention period. If the oldest entry that the state
 * depends on expired before a checkpoint covers it, a daemon that starts afterwards could
 * not restore the state and would never become ready. The first-ranked daemon therefore
 * writes a checkpoint when that entry has reached a quarter of the retention period,
 * which leaves three quarters for outages of the log. Each further rank waits another
 * thirty-second of the period. So other daemons stand in for a first-ranked daemon that
 * is down or paused, but 370 daemons do not write at once. Beyond rank
 * {@value #MAX_DELAYED_RANK} the delay no longer grows, as by then most daemons are cut
 * off from the log. A stream with many entries is checkpointed earlier, so that a
 * starting daemon need not replay them all.
 * <p>
 * Example: with a retention of 24 hours the first-ranked daemon writes every 6 hours, and
 * the second after 6 hours and 45 minutes if the first did not.
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
	 * @param maxEntries the number of entries after the newest checkpoint at which the
	 * first-ranked daemon writes the next one
	 */
	public CheckpointPolicy(long retentionMillis, long maxEntries) {
		this.retentionMillis = retentionMillis;
		this.maxEntries = maxEntries;
	}

	/**
	 * Decides whether this daemon writes a checkpoint now.
	 * @param coverage the part of the stream that the newest checkpoint covers
	 * @param nextOffset the next offset of the stream
	 * @param rank this daemon's rank among the live daemons for the stream, from 0
	 * @param nowMillis the wall-clock time
	 * @return whether to write a checkpoint
	 */
	public boolean isDue(CheckpointCoverage coverage, long nextOffset, int rank, long nowMillis) {
		final long uncovered = nextOffset - (coverage.throughOffset() + 1);
		if (uncovered <= 0 || coverage.oldestUncoveredMillis() == 0) {
			return false;
		}
		final int delaySteps = Math.min(rank, MAX_DELAYED_RANK);
		if (uncovered >= this.maxEntries * (delaySteps + 1L)) {
			return true;
		}
		final long dueAgeMillis = this.retentionMillis / FIRST_WRITE_DIVISOR
				+ delaySteps * (this.retentionMillis / RANK_DELAY_DIVISOR);
		return nowMillis - coverage.oldestUncoveredMillis() >= dueAgeMillis;
	}

}
