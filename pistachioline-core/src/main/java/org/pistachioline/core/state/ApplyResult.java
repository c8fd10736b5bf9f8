package org.pistachioline.core.state;

import java.util.Optional;

/**
 * The result of applying a record: the new state, and whether the record was accepted.
 *
 * @param <S> the type of state
 * @param state the state after the record
 * @param rejection why the record was rejected; empty if it was accepted
 */
public record ApplyResult<S>(S state, Optional<RejectReason> rejection) {

	/**
	 * Creates the result of an accepted record.
	 * @param <S> the type of state
	 * @param state the state after the record
	 * @return the result
	 */
	public static <S> ApplyResult<S> accepted(S state) {
		return new ApplyResult<>(state, Optional.empty());
	}

	/**
	 * Creates the result of a rejected record.
	 * @param <S> the type of state
	 * @param state the state, unchanged except for the writer's mark and expired entries
	 * @param reason why the record was rejected
	 * @return the result
	 */
	public static <S> ApplyResult<S> rejected(S state, RejectReason reason) {
		return new ApplyResult<>(state, Optional.of(reason));
	}

	/**
	 * Returns whether the record was accepted.
	 * @return whether it was accepted
	 */
	public boolean isAccepted() {
		return this.rejection.isEmpty();
	}

}
