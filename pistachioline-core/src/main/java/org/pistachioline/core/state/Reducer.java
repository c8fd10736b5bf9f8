package org.pistachioline.core.state;

import org.pistachioline.core.record.LogRecord;

/**
 * Computes the state of a stream from its records.
 * <p>
 * Implementations are deterministic, so all daemons that have applied the same records
 * have the same state.
 *
 * @param <S> the type of state
 */
public interface Reducer<S> {

	/**
	 * Returns the state of a stream without records.
	 * @return the initial state
	 */
	S initial();

	/**
	 * Applies one record.
	 * @param state the state before the record
	 * @param offset the offset of the record on its stream
	 * @param record the record
	 * @return the state after the record, and whether the record was accepted
	 */
	ApplyResult<S> apply(S state, long offset, LogRecord record);

}
