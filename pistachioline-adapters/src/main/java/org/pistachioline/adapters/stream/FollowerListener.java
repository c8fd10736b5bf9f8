package org.pistachioline.adapters.stream;

import java.util.Optional;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.state.RejectReason;

/**
 * Hears what a follower does.
 */
public interface FollowerListener {

	/** Hears nothing. */
	FollowerListener NONE = new FollowerListener() {

		@Override
		public void onFolded(long offset, LogRecord record, Optional<RejectReason> rejection) {
		}

		@Override
		public void onNote(EventId event, long offset, String detail) {
		}

	};

	/**
	 * Called after a record was folded.
	 * @param offset the record's offset
	 * @param record the record
	 * @param rejection why it changed nothing; empty where it was accepted
	 */
	void onFolded(long offset, LogRecord record, Optional<RejectReason> rejection);

	/**
	 * Called when something is worth an event.
	 * @param event the event
	 * @param offset the offset that it is about
	 * @param detail what was found
	 */
	void onNote(EventId event, long offset, String detail);

}
