package org.pistachioline.core.state;

import java.util.Optional;

/**
 * The state after a record, and the verdict on the record.
 *
 * @param <S> the type of state
 * @param state the state after the record
 * @param rejection why the record changed nothing; empty where it was accepted
 */
public record Applied<S>(S state, Optional<RejectReason> rejection) {

	/**
	 * Accepts a record.
	 * @param <S> the type of state
	 * @param state the state after the record
	 * @return the result
	 */
	public static <S> Applied<S> accepted(S state) {
		return new Applied<>(state, Optional.empty());
	}

	/**
	 * Rejects a record.
	 * @param <S> the type of state
	 * @param state the state, with at most the writer's mark moved
	 * @param reason why
	 * @return the result
	 */
	public static <S> Applied<S> rejected(S state, RejectReason reason) {
		return new Applied<>(state, Optional.of(reason));
	}

	/**
	 * Returns whether the record was accepted.
	 * @return whether it was
	 */
	public boolean isAccepted() {
		return this.rejection.isEmpty();
	}

}
