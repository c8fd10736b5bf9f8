package org.pistachioline.core.listing;

import java.util.List;
import java.util.Set;

/**
 * The net effect of the list's records from one offset up to another. Records without
 * effect on the list, such as heartbeats, may be omitted.
 * <p>
 * A snapshot replaces the whole list and contains no tombstones. A snapshot from a peer
 * has a {@code fromOffset} of 0; one that is read from the platform has the offset at
 * which the read began as both offsets.
 *
 * @param fromOffset the offset of the first record covered
 * @param nextOffset the offset after the last record covered
 * @param gapEndOffset the end of the last gap in the sender's history: an instance that
 * was both added and removed between {@code fromOffset} and here may be missing from the
 * records; 0 if there is no gap
 * @param records the records
 * @param unconfirmedKeys keys of instances that are removed at {@code nextOffset} but may
 * still be alive as far as the sender knows
 */
public record ListingDelta(long fromOffset, long nextOffset, long gapEndOffset, List<InstanceRecord> records,
		Set<String> unconfirmedKeys) {

	/**
	 * Creates a delta without gaps and unconfirmed removals.
	 * @param fromOffset the offset of the first record covered
	 * @param nextOffset the offset after the last record covered
	 * @param records the records
	 */
	public ListingDelta(long fromOffset, long nextOffset, List<InstanceRecord> records) {
		this(fromOffset, nextOffset, 0, records);
	}

	/**
	 * Creates a delta without unconfirmed removals.
	 * @param fromOffset the offset of the first record covered
	 * @param nextOffset the offset after the last record covered
	 * @param gapEndOffset the end of the last gap in the sender's history; 0 if there is
	 * no gap
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
