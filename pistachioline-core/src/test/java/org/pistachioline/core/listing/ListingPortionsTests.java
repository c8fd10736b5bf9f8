package org.pistachioline.core.listing;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.replica.ServingInstance;

import static org.assertj.core.api.Assertions.assertThat;

class ListingPortionsTests {

	private static final int MOST_TOLD = 2;

	private final ListingPortions portions = new ListingPortions();

	/**
	 * Guards against instances that share an offset with the last one of a portion and
	 * that no portion tells: a look at the store drops many at one offset.
	 */
	@Test
	void recordsAtOneOffsetAreToldTogether() {
		final ListingChange change = new ListingChange(100, 160, List.of(dropped("i-1", 159), listed("i-5", 160),
				dropped("i-2", 159), dropped("i-3", 159), listed("i-4", 120)));
		final ListingPortion first = ListingPortion.of(change, question(0), MOST_TOLD);
		assertThat(first.change().records()).containsExactly(listed("i-4", 120), dropped("i-1", 159),
				dropped("i-2", 159), dropped("i-3", 159));
		final ListingPortion second = ListingPortion.of(change, question(first.restOffset()), MOST_TOLD);
		assertThat(second.change().records()).containsExactly(listed("i-5", 160));
		assertThat(second.restOffset()).isZero();
	}

	/**
	 * Guards against a daemon that says it knows the list up to where a part of a change
	 * ended: another one, told what has changed since, is told nothing of the rest.
	 */
	@Test
	void nothingCountsBeforeAllWasTold() {
		assertThat(join(new ListingChange(100, 160, List.of(listed("i-1", 110))), 111)).isEmpty();
		assertThat(this.portions.tellerId()).contains("daemon-2");
		assertThat(this.portions.fromOffset(130)).isEqualTo(100);
		assertThat(this.portions.restOffset()).isEqualTo(111);
		final ListingChange whole = join(
				new ListingChange(100, 170, 0, List.of(dropped("i-1", 165), listed("i-2", 120)), Set.of("i-1")), 0)
			.orElseThrow();
		assertThat(whole.nextOffset()).isEqualTo(170);
		assertThat(whole.records()).containsExactlyInAnyOrder(dropped("i-1", 165), listed("i-2", 120));
		assertThat(whole.doubtedKeys()).containsExactly("i-1");
		assertThat(this.portions.tellerId()).isEmpty();
	}

	/**
	 * Guards against a teller that looks at the whole list between two portions: what
	 * came before the look and went is in neither.
	 */
	@Test
	void aRestFromAcrossAGapIsNotJoined() {
		assertThat(join(new ListingChange(100, 160, List.of(listed("i-1", 110))), 111)).isEmpty();
		assertThat(join(new ListingChange(100, 190, 180, List.of(listed("i-2", 170))), 0)).isEmpty();
		assertThat(this.portions.restOffset()).isZero();
		assertThat(this.portions.fromOffset(130)).isEqualTo(130);
	}

	/**
	 * Guards against a teller that starts again between two portions and has heard of an
	 * instance at another offset than in its former life.
	 */
	@Test
	void aRestFromALaterLifeOfTheTellerIsNotJoined() {
		assertThat(join(new ListingChange(100, 160, List.of(listed("i-1", 110))), 111, 1)).isEmpty();
		assertThat(join(new ListingChange(100, 190, List.of(listed("i-2", 170))), 0, 2)).isEmpty();
		assertThat(this.portions.restOffset()).isZero();
	}

	@Test
	void aWholeListInPlaceOfTheRestStandsForItself() {
		final ListingChange whole = new ListingChange(0, 190, List.of(listed("i-2", 170)));
		assertThat(join(new ListingChange(100, 160, List.of(listed("i-1", 110))), 111)).isEmpty();
		assertThat(join(whole, 0)).contains(whole);
		assertThat(this.portions.tellerId()).isEmpty();
	}

	private Optional<ListingChange> join(ListingChange change, long restOffset) {
		return join(change, restOffset, 1);
	}

	private Optional<ListingChange> join(ListingChange change, long restOffset, long lifeId) {
		return this.portions.join(new ListingAnswer("daemon-2", 7, 0, 0, Optional.of(change), restOffset, lifeId),
				change);
	}

	private static ListingQuestion question(long restOffset) {
		return new ListingQuestion("daemon-1", 7, 100, restOffset);
	}

	private static InstanceRecord dropped(String key, long offset) {
		return new InstanceRecord.Dropped(key, offset);
	}

	private static InstanceRecord listed(String key, long offset) {
		return new InstanceRecord.Listed(key, offset, 0,
				new ServingInstance(key, "pool", "10.0.0.1:80", "zone", "", false, 4, Set.of(), Optional.empty()));
	}

}
