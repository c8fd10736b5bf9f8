package org.pistachioline.core.state;

import org.pistachioline.core.record.LogRecord;

/**
 * Folds the records of one stream into its state, the same way on every daemon.
 *
 * @param <S> the type of state
 */
public interface Reducer<S> {

	/**
	 * Returns the state before any record.
	 * @return the empty state
	 */
	S initial();

	/**
	 * Folds one record.
	 * @param state the state before it
	 * @param offset the record's offset on its stream
	 * @param record the record
	 * @return the state after it and the verdict
	 */
	ApplyResult<S> apply(S state, long offset, LogRecord record);

}
