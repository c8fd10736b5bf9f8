package org.pistachioline.core.listing;

import java.util.Comparator;
import java.util.List;

/**
 * As much of a change as one answer holds.
 *
 * @param delta the change, with some of its records
 * @param continuationOffset where the records begin that are left out; 0 where none are
 */
record ListingPage(ListingDelta delta, long continuationOffset) {

	private static final Comparator<InstanceRecord> BY_OFFSET = Comparator.comparingLong(InstanceRecord::offset);

	/**
	 * Takes a portion of a change.
	 * @param whole the whole change
	 * @param question the question that it answers; it tells what was told already
	 * @param mostRecords how many records it holds, and as many more as share the offset
	 * of the last one
	 * @return the portion
	 */
	static ListingPage of(ListingDelta whole, ListingRequest question, int mostRecords) {
		// Drops are no part of a whole list: what went between two portions would be
		// missed.
		if (whole.fromOffset() == 0) {
			return new ListingPage(whole, 0);
		}
		// Another change than the one that was asked for is told from its beginning.
		final long told = (whole.fromOffset() == question.fromOffset()) ? question.continuationOffset() : 0;
		final List<InstanceRecord> rest = whole.records()
			.stream()
			.filter((each) -> each.offset() >= told)
			.sorted(BY_OFFSET)
			.toList();
		if (rest.size() <= mostRecords) {
			return new ListingPage(withRecords(whole, rest), 0);
		}
		final long last = rest.get(mostRecords - 1).offset();
		final List<InstanceRecord> now = rest.stream().takeWhile((each) -> each.offset() <= last).toList();
		return new ListingPage(withRecords(whole, now), (now.size() < rest.size()) ? last + 1 : 0);
	}

	private static ListingDelta withRecords(ListingDelta change, List<InstanceRecord> records) {
		return new ListingDelta(change.fromOffset(), change.nextOffset(), change.gapEndOffset(), records,
				change.unconfirmedKeys());
	}

}
