package org.pistachioline.daemon.agreed;

import java.util.Optional;

import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.state.RejectReason;

/**
 * Listener to the records that a stream folds; called on the thread of the stream.
 */
public interface FoldListener {

	/**
	 * Called after a record was folded into the state.
	 * @param stream the stream
	 * @param offset the record's offset
	 * @param record the record
	 * @param rejection why the record was rejected and changed nothing; empty if it was
	 * accepted
	 */
	void onFolded(String stream, long offset, LogRecord record, Optional<RejectReason> rejection);

}
