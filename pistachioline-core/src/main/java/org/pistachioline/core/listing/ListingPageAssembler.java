package org.pistachioline.core.listing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Assembles the pages in which a peer sends one delta.
 * <p>
 * No page is applied before the last one has arrived. A daemon that applied only the
 * first pages and reported their last offset as its own would be sent what changed after
 * that offset, which is not what it lacks. The responder's list may change between two
 * pages; a changed entry moves to a later offset and so appears on a page that is still
 * to come.
 */
final class ListingPageAssembler {

	private final Map<String, InstanceRecord> records = new HashMap<>();

	private Optional<ListingResponse> firstPage = Optional.empty();

	private long continuationOffset;

	/**
	 * Adds a page.
	 * @param response the response to a request for the next page, or for the first page
	 * if none is missing
	 * @param delta the page's delta
	 * @return the complete delta, or the snapshot that was sent instead of the next page;
	 * empty while pages are missing and if the page does not continue the earlier ones
	 */
	Optional<ListingDelta> add(ListingResponse response, ListingDelta delta) {
		if (this.firstPage.isPresent() && !continues(this.firstPage.get(), response)) {
			clear();
			// A snapshot is complete in itself; any other page lacks its predecessors.
			return (delta.fromOffset() == 0 && response.continuationOffset() == 0) ? Optional.of(delta)
					: Optional.empty();
		}
		this.firstPage = this.firstPage.or(() -> Optional.of(response));
		this.continuationOffset = response.continuationOffset();
		delta.records().forEach((each) -> this.records.put(each.key(), each));
		if (this.continuationOffset > 0) {
			return Optional.empty();
		}
		final ListingDelta whole = new ListingDelta(delta.fromOffset(), delta.nextOffset(), delta.gapEndOffset(),
				List.copyOf(this.records.values()), delta.unconfirmedKeys());
		clear();
		return Optional.of(whole);
	}

	// Instances that were added and removed in a gap that opened since the first page are
	// on no page. After a restart the responder may know the records of the earlier pages
	// at other offsets.
	private static boolean continues(ListingResponse firstResponse, ListingResponse response) {
		final ListingDelta firstDelta = firstResponse.delta().orElseThrow();
		final ListingDelta nextDelta = response.delta().orElseThrow();
		return response.incarnationId() == firstResponse.incarnationId()
				&& nextDelta.fromOffset() == firstDelta.fromOffset()
				&& nextDelta.gapEndOffset() <= firstDelta.nextOffset();
	}

	/**
	 * Discards the pages received so far.
	 */
	void clear() {
		this.records.clear();
		this.firstPage = Optional.empty();
		this.continuationOffset = 0;
	}

	/**
	 * Returns the daemon that must be asked for the next page.
	 * @return the daemon's name; empty if no page is missing
	 */
	Optional<String> responderId() {
		return this.firstPage.map(ListingResponse::responderId);
	}

	/**
	 * Returns the offset from which the delta in progress starts.
	 * @param defaultOffset the offset to return if no page is missing
	 * @return the first offset that this daemon lacked when it requested the first page
	 */
	long fromOffset(long defaultOffset) {
		return this.firstPage.flatMap(ListingResponse::delta).map(ListingDelta::fromOffset).orElse(defaultOffset);
	}

	/**
	 * Returns the offset at which the next page starts.
	 * @return the offset; 0 if no page is missing
	 */
	long continuationOffset() {
		return this.continuationOffset;
	}

}
