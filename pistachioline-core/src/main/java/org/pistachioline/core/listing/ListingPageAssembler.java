package org.pistachioline.core.listing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Joins the portions in which another daemon tells one change.
 * <p>
 * Nothing of a change counts before all of it was told. A daemon that held a part, and
 * said that it knows the list up to there, would be told by others what has changed
 * since, which is not what it lacks. The teller's list goes on changing meanwhile, but an
 * entry that changes moves on to a later offset, into a portion that is still to come.
 */
final class ListingPageAssembler {

	private final Map<String, InstanceRecord> records = new HashMap<>();

	private Optional<ListingResponse> firstPage = Optional.empty();

	private long continuationOffset;

	/**
	 * Takes what a daemon told that was asked for the rest, or for all where there is no
	 * rest.
	 * @param answer the answer
	 * @param change what it tells
	 * @return the whole change; empty while something of it is left out
	 */
	Optional<ListingDelta> add(ListingResponse answer, ListingDelta change) {
		if (this.firstPage.isPresent() && !continues(this.firstPage.get(), answer)) {
			clear();
			// A whole list stands for itself; anything else lacks its beginning.
			return (change.fromOffset() == 0 && answer.continuationOffset() == 0) ? Optional.of(change)
					: Optional.empty();
		}
		this.firstPage = this.firstPage.or(() -> Optional.of(answer));
		this.continuationOffset = answer.continuationOffset();
		change.records().forEach((each) -> this.records.put(each.key(), each));
		if (this.continuationOffset > 0) {
			return Optional.empty();
		}
		final ListingDelta whole = new ListingDelta(change.fromOffset(), change.nextOffset(), change.gapEndOffset(),
				List.copyOf(this.records.values()), change.unconfirmedKeys());
		clear();
		return Optional.of(whole);
	}

	// What came and went in a gap that the teller has had since is in no portion, and a
	// later life of the teller may have heard of what was left out at earlier offsets.
	private static boolean continues(ListingResponse begun, ListingResponse answer) {
		final ListingDelta first = begun.delta().orElseThrow();
		final ListingDelta next = answer.delta().orElseThrow();
		return answer.incarnationId() == begun.incarnationId() && next.fromOffset() == first.fromOffset()
				&& next.gapEndOffset() <= first.nextOffset();
	}

	/**
	 * Forgets what was told in part.
	 */
	void clear() {
		this.records.clear();
		this.firstPage = Optional.empty();
		this.continuationOffset = 0;
	}

	/**
	 * Returns which daemon must be asked for the rest.
	 * @return the daemon; empty where no rest is left
	 */
	Optional<String> responderId() {
		return this.firstPage.map(ListingResponse::responderId);
	}

	/**
	 * Returns from where on the change is told.
	 * @param otherwise what to return where no rest is left
	 * @return the first offset that this daemon lacked when it asked first
	 */
	long fromOffset(long otherwise) {
		return this.firstPage.flatMap(ListingResponse::delta).map(ListingDelta::fromOffset).orElse(otherwise);
	}

	/**
	 * Returns where the records begin that are still to be told.
	 * @return the offset; 0 where no rest is left
	 */
	long continuationOffset() {
		return this.continuationOffset;
	}

}
