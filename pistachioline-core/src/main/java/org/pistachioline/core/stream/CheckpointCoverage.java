package org.pistachioline.core.stream;

/**
 * The part of a stream that its newest complete checkpoint covers.
 *
 * @param throughOffset the last offset that the checkpoint covers; -1 without a
 * checkpoint
 * @param oldestUncoveredMillis when the oldest entry that the checkpoint does not cover
 * was appended, by the log's clock; an estimate that may be too early but never too late;
 * 0 if there is no such entry
 */
public record CheckpointCoverage(long throughOffset, long oldestUncoveredMillis) {

	/** No checkpoint and no entry. */
	public static final CheckpointCoverage NONE = new CheckpointCoverage(-1, 0);

}
