package org.pistachioline.core.listing;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.replica.ServingInstance;

import static org.assertj.core.api.Assertions.assertThat;

class ListingPageAssemblerTests {

	private static final int MAX_RECORDS_PER_PAGE = 2;

	private final ListingPageAssembler pages = new ListingPageAssembler();

	/**
	 * Guards against instances that share an offset with the last one of a portion and
	 * that no portion tells: a look at the store drops many at one offset.
	 */
	@Test
	void recordsAtOneOffsetShareAPage() {
		final ListingDelta change = new ListingDelta(100, 160, List.of(tombstone("i-1", 159), listed("i-5", 160),
				tombstone("i-2", 159), tombstone("i-3", 159), listed("i-4", 120)));
		final ListingPage first = ListingPage.of(change, request(0), MAX_RECORDS_PER_PAGE);
		assertThat(first.delta().records()).containsExactly(listed("i-4", 120), tombstone("i-1", 159),
				tombstone("i-2", 159), tombstone("i-3", 159));
		final ListingPage second = ListingPage.of(change, request(first.continuationOffset()), MAX_RECORDS_PER_PAGE);
		assertThat(second.delta().records()).containsExactly(listed("i-5", 160));
		assertThat(second.continuationOffset()).isZero();
	}

	/**
	 * Guards against a daemon that says it knows the list up to where a part of a change
	 * ended: another one, told what has changed since, is told nothing of the rest.
	 */
	@Test
	void noDeltaIsReturnedBeforeItsLastPage() {
		assertThat(add(new ListingDelta(100, 160, List.of(listed("i-1", 110))), 111)).isEmpty();
		assertThat(this.pages.responderId()).contains("daemon-2");
		assertThat(this.pages.fromOffset(130)).isEqualTo(100);
		assertThat(this.pages.continuationOffset()).isEqualTo(111);
		final ListingDelta whole = add(
				new ListingDelta(100, 170, 0, List.of(tombstone("i-1", 165), listed("i-2", 120)), Set.of("i-1")), 0)
			.orElseThrow();
		assertThat(whole.nextOffset()).isEqualTo(170);
		assertThat(whole.records()).containsExactlyInAnyOrder(tombstone("i-1", 165), listed("i-2", 120));
		assertThat(whole.unconfirmedKeys()).containsExactly("i-1");
		assertThat(this.pages.responderId()).isEmpty();
	}

	/**
	 * Guards against a teller that looks at the whole list between two portions: what
	 * came before the look and went is in neither.
	 */
	@Test
	void aPageFromAcrossAGapIsRejected() {
		assertThat(add(new ListingDelta(100, 160, List.of(listed("i-1", 110))), 111)).isEmpty();
		assertThat(add(new ListingDelta(100, 190, 180, List.of(listed("i-2", 170))), 0)).isEmpty();
		assertThat(this.pages.continuationOffset()).isZero();
		assertThat(this.pages.fromOffset(130)).isEqualTo(130);
	}

	/**
	 * Guards against a teller that starts again between two portions and has heard of an
	 * instance at another offset than in its former life.
	 */
	@Test
	void aPageFromALaterIncarnationOfTheResponderIsRejected() {
		assertThat(add(new ListingDelta(100, 160, List.of(listed("i-1", 110))), 111, 1)).isEmpty();
		assertThat(add(new ListingDelta(100, 190, List.of(listed("i-2", 170))), 0, 2)).isEmpty();
		assertThat(this.pages.continuationOffset()).isZero();
	}

	@Test
	void aSnapshotInPlaceOfTheNextPageIsReturnedAsIs() {
		final ListingDelta whole = new ListingDelta(0, 190, List.of(listed("i-2", 170)));
		assertThat(add(new ListingDelta(100, 160, List.of(listed("i-1", 110))), 111)).isEmpty();
		assertThat(add(whole, 0)).contains(whole);
		assertThat(this.pages.responderId()).isEmpty();
	}

	private Optional<ListingDelta> add(ListingDelta change, long restOffset) {
		return add(change, restOffset, 1);
	}

	private Optional<ListingDelta> add(ListingDelta change, long restOffset, long lifeId) {
		return this.pages.add(new ListingResponse("daemon-2", 7, 0, 0, Optional.of(change), restOffset, lifeId),
				change);
	}

	private static ListingRequest request(long restOffset) {
		return new ListingRequest("daemon-1", 7, 100, restOffset);
	}

	private static InstanceRecord tombstone(String key, long offset) {
		return new InstanceRecord.Tombstone(key, offset);
	}

	private static InstanceRecord listed(String key, long offset) {
		return new InstanceRecord.Listed(key, offset, 0,
				new ServingInstance(key, "pool", "10.0.0.1:80", "zone", "", false, 4, Set.of(), Optional.empty()));
	}

}
