package org.pistachioline.core.listing;

import java.util.List;
import java.util.Set;

/**
 * What the list's records from one offset to another come to. Records that change nothing
 * may be left out.
 *
 * @param fromOffset the offset of the first record that counts
 * @param nextOffset the offset after the last one
 * @param gapEnd an instance that came and went before this offset may be missing
 * altogether, if it came after the first one; 0 where none is
 * @param records the records
 * @param doubtedKeys instances that are dropped by then and may live all the same, as far
 * as whoever tells it knows
 */
public record ListingChange(long fromOffset, long nextOffset, long gapEnd, List<InstanceRecord> records,
		Set<String> doubtedKeys) {

	/**
	 * Creates a change in which nothing is missing.
	 * @param fromOffset the offset of the first record that counts
	 * @param nextOffset the offset after the last one
	 * @param records the records
	 */
	public ListingChange(long fromOffset, long nextOffset, List<InstanceRecord> records) {
		this(fromOffset, nextOffset, 0, records);
	}

	/**
	 * Creates a change that no instance outlives in doubt.
	 * @param fromOffset the offset of the first record that counts
	 * @param nextOffset the offset after the last one
	 * @param gapEnd an instance that came and went before this offset may be missing
	 * altogether, if it came after the first one; 0 where none is
	 * @param records the records
	 */
	public ListingChange(long fromOffset, long nextOffset, long gapEnd, List<InstanceRecord> records) {
		this(fromOffset, nextOffset, gapEnd, records, Set.of());
	}

	public ListingChange {
		records = List.copyOf(records);
		doubtedKeys = Set.copyOf(doubtedKeys);
	}

}
