package org.pistachioline.daemon.agreed;

import org.pistachioline.core.stream.CheckpointCoverage;
import org.pistachioline.core.stream.StreamCondition;

/**
 * The folded state of one stream at a moment; immutable.
 *
 * @param <S> the type of state
 * @param state the state
 * @param nextOffset the next offset to read
 * @param condition what the state is worth
 * @param caughtUp whether the stream's end was reached once since the state is whole
 * @param readAtNanos when the log's end was last known, from before the read
 * @param logReachable whether the last read succeeded
 * @param needsCheckpoint whether only a checkpoint can bring this further
 * @param coverage what the newest checkpoint on the stream covers
 * @param foldedRecords how many records were folded
 * @param rejectedRecords how many of them changed nothing
 * @param skippedEntries how many broken entries were skipped
 */
public record StreamView<S>(S state, long nextOffset, StreamCondition condition, boolean caughtUp, long readAtNanos,
		boolean logReachable, boolean needsCheckpoint, CheckpointCoverage coverage, long foldedRecords,
		long rejectedRecords, long skippedEntries) {

	/**
	 * Returns whether what is absent from the state is known not to exist.
	 * @return whether every record below the next offset is in the state
	 */
	public boolean complete() {
		return this.condition == StreamCondition.WHOLE;
	}

}
