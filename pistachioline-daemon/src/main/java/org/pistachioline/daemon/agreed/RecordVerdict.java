package org.pistachioline.daemon.agreed;

import java.util.Optional;

import org.pistachioline.core.state.RejectReason;

/**
 * The reducer's decision on a record of this daemon.
 *
 * @param offset the offset of the record
 * @param rejection why the record was rejected and changed nothing; empty if it was
 * accepted
 */
public record RecordVerdict(long offset, Optional<RejectReason> rejection) {

	/**
	 * Returns whether the record was accepted.
	 * @return whether it was accepted
	 */
	public boolean isAccepted() {
		return this.rejection.isEmpty();
	}

}
