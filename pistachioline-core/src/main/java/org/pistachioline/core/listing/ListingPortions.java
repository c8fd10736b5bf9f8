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
final class ListingPortions {

	private final Map<String, InstanceRecord> records = new HashMap<>();

	private Optional<ListingAnswer> first = Optional.empty();

	private long restOffset;

	/**
	 * Takes what a daemon told that was asked for the rest, or for all where there is no
	 * rest.
	 * @param answer the answer
	 * @param change what it tells
	 * @return the whole change; empty while something of it is left out
	 */
	Optional<ListingChange> join(ListingAnswer answer, ListingChange change) {
		if (this.first.isPresent() && !continues(this.first.get(), answer)) {
			clear();
			// A whole list stands for itself; anything else lacks its beginning.
			return (change.fromOffset() == 0 && answer.restOffset() == 0) ? Optional.of(change) : Optional.empty();
		}
		this.first = this.first.or(() -> Optional.of(answer));
		this.restOffset = answer.restOffset();
		change.records().forEach((each) -> this.records.put(each.key(), each));
		if (this.restOffset > 0) {
			return Optional.empty();
		}
		final ListingChange whole = new ListingChange(change.fromOffset(), change.nextOffset(), change.gapEnd(),
				List.copyOf(this.records.values()), change.doubtedKeys());
		clear();
		return Optional.of(whole);
	}

	// What came and went in a gap that the teller has had since is in no portion, and a
	// later life of the teller may have heard of what was left out at earlier offsets.
	private static boolean continues(ListingAnswer begun, ListingAnswer answer) {
		final ListingChange first = begun.change().orElseThrow();
		final ListingChange next = answer.change().orElseThrow();
		return answer.lifeId() == begun.lifeId() && next.fromOffset() == first.fromOffset()
				&& next.gapEnd() <= first.nextOffset();
	}

	/**
	 * Forgets what was told in part.
	 */
	void clear() {
		this.records.clear();
		this.first = Optional.empty();
		this.restOffset = 0;
	}

	/**
	 * Returns which daemon must be asked for the rest.
	 * @return the daemon; empty where no rest is left
	 */
	Optional<String> tellerId() {
		return this.first.map(ListingAnswer::answererId);
	}

	/**
	 * Returns from where on the change is told.
	 * @param otherwise what to return where no rest is left
	 * @return the first offset that this daemon lacked when it asked first
	 */
	long fromOffset(long otherwise) {
		return this.first.flatMap(ListingAnswer::change).map(ListingChange::fromOffset).orElse(otherwise);
	}

	/**
	 * Returns where the records begin that are still to be told.
	 * @return the offset; 0 where no rest is left
	 */
	long restOffset() {
		return this.restOffset;
	}

}
