package org.pistachioline.core.state;

import java.util.Map;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import org.pistachioline.core.record.LogRecord;

/**
 * The last record of each writer of a stream, used to detect duplicate and delayed
 * records.
 * <p>
 * If the response to an append is lost, the writer's retry may store the record twice, or
 * the log may store it after the writer has given up and appended a later record. Such a
 * record would be applied twice or out of order. It is recognized by a sequence number
 * that is not above the last one of its writer.
 *
 * @param marks the last record of each writer, by writer id
 */
public record WriterMarks(PMap<String, WriterMark> marks) {

	/** The marks of a stream without records. */
	public static final WriterMarks EMPTY = new WriterMarks(HashTreePMap.empty());

	/**
	 * The maximum number of writers that are kept, enough for ten incarnations of each of
	 * 370 daemons. Above it the least recently seen writer is evicted.
	 */
	public static final int MAX_WRITERS = 4096;

	/**
	 * Returns whether a record is a duplicate or arrived after a later one of its writer.
	 * @param record the record
	 * @return whether its sequence number is at or below the last one of its writer
	 */
	public boolean isDuplicate(LogRecord record) {
		final WriterMark mark = this.marks.get(record.writer());
		return mark != null && record.sequence() <= mark.sequence();
	}

	/**
	 * Sets the mark of a record's writer, and evicts the least recently seen writer if
	 * there are too many.
	 * @param offset the offset of the record
	 * @param record the record
	 * @return the updated marks
	 */
	public WriterMarks with(long offset, LogRecord record) {
		final PMap<String, WriterMark> updated = this.marks.plus(record.writer(),
				new WriterMark(record.sequence(), offset));
		return new WriterMarks((updated.size() > MAX_WRITERS) ? updated.minus(leastRecentlySeen(updated)) : updated);
	}

	private static String leastRecentlySeen(Map<String, WriterMark> marks) {
		String oldest = null;
		long lowestOffset = Long.MAX_VALUE;
		for (final Map.Entry<String, WriterMark> entry : marks.entrySet()) {
			final long offset = entry.getValue().offset();
			final boolean earlier = offset < lowestOffset
					|| (offset == lowestOffset && oldest != null && entry.getKey().compareTo(oldest) < 0);
			if (earlier) {
				oldest = entry.getKey();
				lowestOffset = offset;
			}
		}
		return oldest;
	}

}
