package org.pistachioline.daemon.agreed;

/**
 * The folded state of one stream at a moment; immutable.
 *
 * @param <S> the type of state
 * @param state the state
 * @param nextOffset the next offset to read
 * @param caughtUp whether the stream's end was reached once
 * @param readAtNanos when the log was last read with success, from before the read
 * @param logReachable whether the last read succeeded
 * @param foldedRecords how many records were folded
 * @param rejectedRecords how many of them changed nothing
 */
public record StreamView<S>(S state, long nextOffset, boolean caughtUp, long readAtNanos, boolean logReachable,
		long foldedRecords, long rejectedRecords) {

}
