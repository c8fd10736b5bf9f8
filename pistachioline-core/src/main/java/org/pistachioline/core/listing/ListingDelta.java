package org.pistachioline.core.listing;

import java.util.List;
import java.util.Set;

/**
 * What the list's records from one offset to another come to. Records that change nothing
 * may be left out.
 *
 * @param fromOffset the offset of the first record that counts
 * @param nextOffset the offset after the last one
 * @param gapEndOffset an instance that came and went before this offset may be missing
 * altogether, if it came after the first one; 0 where none is
 * @param records the records
 * @param unconfirmedKeys instances that are dropped by then and may live all the same, as
 * far as whoever tells it knows
 */
public record ListingDelta(long fromOffset, long nextOffset, long gapEndOffset, List<InstanceRecord> records,
		Set<String> unconfirmedKeys) {

	/**
	 * Creates a change in which nothing is missing.
	 * @param fromOffset the offset of the first record that counts
	 * @param nextOffset the offset after the last one
	 * @param records the records
	 */
	public ListingDelta(long fromOffset, long nextOffset, List<InstanceRecord> records) {
		this(fromOffset, nextOffset, 0, records);
	}

	/**
	 * Creates a change that no instance outlives in doubt.
	 * @param fromOffset the offset of the first record that counts
	 * @param nextOffset the offset after the last one
	 * @param gapEndOffset an instance that came and went before this offset may be
	 * missing altogether, if it came after the first one; 0 where none is
	 * @param records the records
	 */
	public ListingDelta(long fromOffset, long nextOffset, long gapEndOffset, List<InstanceRecord> records) {
		this(fromOffset, nextOffset, gapEndOffset, records, Set.of());
	}

	public ListingDelta {
		records = List.copyOf(records);
		unconfirmedKeys = Set.copyOf(unconfirmedKeys);
	}

}
