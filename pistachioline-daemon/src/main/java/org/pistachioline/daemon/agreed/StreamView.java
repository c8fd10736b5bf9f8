package org.pistachioline.daemon.agreed;

import org.pistachioline.core.stream.CheckpointCoverage;
import org.pistachioline.core.stream.StreamCondition;

/**
 * Immutable snapshot of the folded state of one stream.
 *
 * @param <S> the type of state
 * @param state the state
 * @param nextOffset the next offset to read
 * @param condition whether the state is complete, and why not
 * @param caughtUp whether the end of the stream has been reached since the state became
 * complete
 * @param readAtNanos the monotonic time at which the last read that reached the end of
 * the stream began
 * @param logReachable whether the last read succeeded
 * @param needsCheckpoint whether the state can advance only by restoring a checkpoint
 * @param coverage the range that the newest checkpoint on the stream covers
 * @param foldedRecords how many records were folded
 * @param rejectedRecords how many of the folded records were rejected and changed nothing
 * @param skippedEntries how many undecodable entries were skipped
 */
public record StreamView<S>(S state, long nextOffset, StreamCondition condition, boolean caughtUp, long readAtNanos,
		boolean logReachable, boolean needsCheckpoint, CheckpointCoverage coverage, long foldedRecords,
		long rejectedRecords, long skippedEntries) {

	/**
	 * Returns whether the state is complete, so that something absent from it does not
	 * exist.
	 * @return whether every record below the next offset is in the state
	 */
	public boolean complete() {
		return this.condition == StreamCondition.WHOLE;
	}

}
