package org.pistachioline.core.stream;

/**
 * How far the newest whole checkpoint on a stream reaches.
 *
 * @param throughOffset the last offset that it covers; -1 without a checkpoint
 * @param oldestUncoveredMillis when the oldest entry that it does not cover was appended,
 * by the log's clock and never too late; 0 where there is none
 */
public record CheckpointCoverage(long throughOffset, long oldestUncoveredMillis) {

	/** No checkpoint and no entry. */
	public static final CheckpointCoverage NONE = new CheckpointCoverage(-1, 0);

}
