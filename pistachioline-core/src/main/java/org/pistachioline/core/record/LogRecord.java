package org.pistachioline.core.record;

/**
 * One record: a proposal that the state at its offset accepts or rejects.
 *
 * @param writer the writing process with its incarnation
 * @param sequence rises by one with each record of the writer
 * @param schema the version of the record's form
 * @param body what is proposed
 */
public record LogRecord(String writer, long sequence, int schema, RecordBody body) {

	/** The newest form that this code writes and understands. */
	public static final int CURRENT_SCHEMA = 1;

}
