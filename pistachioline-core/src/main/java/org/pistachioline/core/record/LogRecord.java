package org.pistachioline.core.record;

/**
 * A record of the log. It is a proposal: the reducer of its stream accepts or rejects it,
 * depending on the state at its offset.
 *
 * @param writer the id of the writing process, which includes its incarnation
 * @param sequence the sequence number, which increases by one with each record of the
 * writer
 * @param schema the version of the record format
 * @param body the proposed change
 */
public record LogRecord(String writer, long sequence, int schema, RecordBody body) {

	/** The newest version of the record format that this code writes and reads. */
	public static final int CURRENT_SCHEMA = 1;

}
