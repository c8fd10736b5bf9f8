package org.pistachioline.core.stream;

/**
 * How far the newest whole checkpoint on a stream reaches.
 *
 * @param throughOffset the last offset that it covers; -1 without a checkpoint
 * @param neededSinceMillis when the oldest entry that it does not cover was appended, by
 * the log's clock and never too late; 0 where there is none
 */
public record CheckpointCover(long throughOffset, long neededSinceMillis) {

	/** No checkpoint and no entry. */
	public static final CheckpointCover NONE = new CheckpointCover(-1, 0);

}
