package org.pistachioline.core.listing;

import java.util.Comparator;
import java.util.List;

/**
 * The part of a delta that fits into one response.
 *
 * @param delta the delta, with some of its records
 * @param continuationOffset the offset at which the next page starts; 0 on the last page
 */
record ListingPage(ListingDelta delta, long continuationOffset) {

	private static final Comparator<InstanceRecord> BY_OFFSET = Comparator.comparingLong(InstanceRecord::offset);

	/**
	 * Cuts the page that a request asks for out of a delta.
	 * @param whole the complete delta
	 * @param request the request; its continuation offset tells where the page starts
	 * @param maxRecords the most records on a page; records with the same offset as the
	 * last one are added even beyond this
	 * @return the page
	 */
	static ListingPage of(ListingDelta whole, ListingRequest request, int maxRecords) {
		// A snapshot has no tombstones, so a removal between two of its pages would be
		// missed.
		if (whole.fromOffset() == 0) {
			return new ListingPage(whole, 0);
		}
		// The continuation offset belongs to a delta from the requested offset; any other
		// delta starts with its first page.
		final long startOffset = (whole.fromOffset() == request.fromOffset()) ? request.continuationOffset() : 0;
		final List<InstanceRecord> remaining = whole.records()
			.stream()
			.filter((each) -> each.offset() >= startOffset)
			.sorted(BY_OFFSET)
			.toList();
		if (remaining.size() <= maxRecords) {
			return new ListingPage(withRecords(whole, remaining), 0);
		}
		final long lastOffset = remaining.get(maxRecords - 1).offset();
		final List<InstanceRecord> page = remaining.stream().takeWhile((each) -> each.offset() <= lastOffset).toList();
		return new ListingPage(withRecords(whole, page), (page.size() < remaining.size()) ? lastOffset + 1 : 0);
	}

	private static ListingDelta withRecords(ListingDelta delta, List<InstanceRecord> records) {
		return new ListingDelta(delta.fromOffset(), delta.nextOffset(), delta.gapEndOffset(), records,
				delta.unconfirmedKeys());
	}

}
