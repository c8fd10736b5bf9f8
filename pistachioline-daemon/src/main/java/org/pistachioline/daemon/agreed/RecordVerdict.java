package org.pistachioline.daemon.agreed;

import java.util.Optional;

import org.pistachioline.core.state.RejectReason;

/**
 * What became of a record of ours.
 *
 * @param offset its offset
 * @param rejection why it changed nothing; empty where it was accepted
 */
public record RecordVerdict(long offset, Optional<RejectReason> rejection) {

	/**
	 * Returns whether the record was accepted.
	 * @return whether it was
	 */
	public boolean isAccepted() {
		return this.rejection.isEmpty();
	}

}
