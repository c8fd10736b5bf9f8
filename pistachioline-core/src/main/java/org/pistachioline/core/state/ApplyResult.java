package org.pistachioline.core.state;

import java.util.Optional;

/**
 * The state after a record, and the verdict on the record.
 *
 * @param <S> the type of state
 * @param state the state after the record
 * @param rejection why the record changed nothing; empty where it was accepted
 */
public record ApplyResult<S>(S state, Optional<RejectReason> rejection) {

	/**
	 * Accepts a record.
	 * @param <S> the type of state
	 * @param state the state after the record
	 * @return the result
	 */
	public static <S> ApplyResult<S> accepted(S state) {
		return new ApplyResult<>(state, Optional.empty());
	}

	/**
	 * Rejects a record.
	 * @param <S> the type of state
	 * @param state the state, with at most the writer's mark moved
	 * @param reason why
	 * @return the result
	 */
	public static <S> ApplyResult<S> rejected(S state, RejectReason reason) {
		return new ApplyResult<>(state, Optional.of(reason));
	}

	/**
	 * Returns whether the record was accepted.
	 * @return whether it was
	 */
	public boolean isAccepted() {
		return this.rejection.isEmpty();
	}

}
