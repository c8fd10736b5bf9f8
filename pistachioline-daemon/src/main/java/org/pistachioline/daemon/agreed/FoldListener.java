package org.pistachioline.daemon.agreed;

import java.util.Optional;

import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.state.RejectReason;

/**
 * Hears of each record that was folded, on the stream's thread.
 */
public interface FoldListener {

	/**
	 * Called after a record was folded.
	 * @param stream the stream
	 * @param offset the record's offset
	 * @param record the record
	 * @param rejection why it changed nothing; empty where it was accepted
	 */
	void onFolded(String stream, long offset, LogRecord record, Optional<RejectReason> rejection);

}
