package org.pistachioline.core.state;

import java.util.Map;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import org.pistachioline.core.record.LogRecord;

/**
 * Remembers the last sequence of each writer, so that a repeat is dropped.
 * <p>
 * An append whose answer was lost may land twice, or land after its writer gave it up and
 * wrote something else. Both would be applied a second time or too late; both have a
 * sequence at or below the writer's mark.
 *
 * @param marks the marks by writer
 */
public record WriterMarks(PMap<String, WriterMark> marks) {

	/** No writer seen. */
	public static final WriterMarks EMPTY = new WriterMarks(HashTreePMap.empty());

	/**
	 * How many writers are remembered: ten incarnations of each of 370 daemons. Past it
	 * the writer that has been silent the longest is forgotten.
	 */
	public static final int MAX_WRITERS = 4096;

	/**
	 * Returns whether a record is a repeat.
	 * @param record the record
	 * @return whether its sequence is at or below the writer's mark
	 */
	public boolean isDuplicate(LogRecord record) {
		final WriterMark mark = this.marks.get(record.writer());
		return mark != null && record.sequence() <= mark.sequence();
	}

	/**
	 * Moves the mark of a record's writer.
	 * @param offset the record's offset
	 * @param record the record
	 * @return the new marks
	 */
	public WriterMarks with(long offset, LogRecord record) {
		final PMap<String, WriterMark> next = this.marks.plus(record.writer(),
				new WriterMark(record.sequence(), offset));
		return new WriterMarks((next.size() > MAX_WRITERS) ? next.minus(leastRecentlySeen(next)) : next);
	}

	private static String leastRecentlySeen(Map<String, WriterMark> marks) {
		String silent = null;
		long lowestOffset = Long.MAX_VALUE;
		for (final Map.Entry<String, WriterMark> entry : marks.entrySet()) {
			final long offset = entry.getValue().offset();
			final boolean earlier = offset < lowestOffset
					|| (offset == lowestOffset && silent != null && entry.getKey().compareTo(silent) < 0);
			if (earlier) {
				silent = entry.getKey();
				lowestOffset = offset;
			}
		}
		return silent;
	}

}
