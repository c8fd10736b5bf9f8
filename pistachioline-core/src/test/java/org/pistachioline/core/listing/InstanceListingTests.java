package org.pistachioline.core.listing;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.replica.ServingInstance;

import static org.assertj.core.api.Assertions.assertThat;

class InstanceListingTests {

	/** Past every doubt. */
	private static final long LATER_NANOS = 60_000_000_000L;

	/**
	 * An instance comes and goes between two questions, so that only its drop is told.
	 * Another daemon has read of its coming and asks for the rest. Not told of the drop,
	 * it would send requests to an instance that has gone, for as long as it lives
	 * itself.
	 */
	@Test
	void aDropOfAnInstanceThatWasNeverHeardOfIsToldOn() {
		final InstanceListing listing = listedUpTo(100);
		listing.takeTold(0, 0, new ListingChange(100, 112, List.of(new InstanceRecord.Dropped("i-1", 110))));
		assertThat(listing.hasNewsSince(107)).isTrue();
		assertThat(listing.since(107).orElseThrow().records()).containsExactly(new InstanceRecord.Dropped("i-1", 110));
	}

	/**
	 * The platform has dropped its history, and a daemon looks at the whole list. What
	 * came and went meanwhile it never saw, nor does whoever is told by it. A third one
	 * that saw it come must not be told that the rest is complete.
	 */
	@Test
	void aGapInWhatADaemonSawIsAGapForThoseItTells() {
		final InstanceListing looked = listedUpTo(100);
		looked.takeWhole(0, 0, new ListingChange(140, 140, List.of()), false);
		assertTellsTheWholeList(looked);
		final InstanceListing told = listedUpTo(100);
		told.takeTold(0, 0, looked.since(100).orElseThrow());
		assertThat(told.nextOffset()).isEqualTo(140);
		assertTellsTheWholeList(told);
		assertThat(told.since(140).orElseThrow().fromOffset()).isEqualTo(140);
	}

	private static void assertTellsTheWholeList(InstanceListing teller) {
		assertThat(teller.since(120).orElseThrow().fromOffset()).isZero();
		final InstanceListing third = listedUpTo(100);
		third.takeRead(0, 0, new ListingChange(100, 120, List.of(listed("i-1", 110), listed("i-2", 111))), false);
		assertThat(third.instances()).hasSize(2);
		third.takeTold(0, 0, teller.since(120).orElseThrow());
		assertThat(third.instances()).isEmpty();
		assertThat(third.nextOffset()).isEqualTo(140);
	}

	/**
	 * Guards against an answer that comes after its asker has read on: an instance that
	 * came and went in the teller's gap, and that the asker has read of, would be kept.
	 */
	@Test
	void anAnswerFromAcrossAGapIsNotTakenInsideIt() {
		final InstanceListing teller = listedUpTo(100);
		teller.takeWhole(0, 0, new ListingChange(140, 140, List.of()), false);
		final ListingChange late = teller.since(100).orElseThrow();
		final InstanceListing asker = listedUpTo(100);
		asker.takeRead(0, 0, new ListingChange(100, 120, List.of(listed("i-1", 110))), false);
		asker.takeTold(0, 0, late);
		assertThat(asker.nextOffset()).isEqualTo(120);
		asker.takeTold(0, 0, teller.since(120).orElseThrow());
		assertThat(asker.instances()).isEmpty();
	}

	/**
	 * Guards against an instance that another daemon dropped and that is not told to it
	 * again, since it came back as this one knew it all the while.
	 */
	@Test
	void whatAWholeListShowsIsToldAgainThoughItSaysNothingNew() {
		final InstanceListing teller = listedUpTo(100);
		teller.takeRead(0, 0, new ListingChange(100, 120, List.of(listed("i-1", 110))), false);
		teller.takeWhole(0, 0, new ListingChange(150, 150, List.of(listed("i-1", 145))), false);
		assertThat(teller.hasNewsSince(140)).isTrue();
		assertThat(teller.since(120).orElseThrow().records()).containsExactly(listed("i-1", 145));
	}

	/**
	 * Guards against an entry that one daemon still doubts has gone, and that another
	 * never saw: told the rest by that one, a third would keep it for good.
	 */
	@Test
	void whoDoubtsThatAnEntryHasGoneTellsNothingAfterItsLastSight() {
		final InstanceListing doubting = listedUpTo(100);
		doubting.takeRead(0, 0, new ListingChange(100, 120, List.of(listed("i-1", 110))), false);
		doubting.takeWhole(0, 0, new ListingChange(160, 160, List.of()), true);
		final InstanceListing started = new InstanceListing();
		started.takeWhole(0, 0, new ListingChange(140, 140, List.of()), false);
		started.takeRead(0, 0, new ListingChange(140, 170, List.of()), false);
		final InstanceListing third = listedUpTo(100);
		third.takeRead(0, 0, new ListingChange(100, 120, List.of(listed("i-1", 110))), false);
		third.takeTold(0, 0, doubting.since(120).orElseThrow());
		third.takeTold(0, 0, started.since(third.nextOffset()).orElseThrow());
		assertThat(third.instances()).isEmpty();
		assertThat(third.nextOffset()).isEqualTo(170);
	}

	/**
	 * Guards against an entry that one daemon told ahead of the offset up to which it
	 * told all, and that another never saw: told the rest by that one, a third would keep
	 * it for good.
	 */
	@Test
	void nothingIsToldThatLiesBeyondTheOffsetUpToWhichAllIsTold() {
		final InstanceListing doubting = listedUpTo(100);
		doubting.takeRead(0, 0, new ListingChange(100, 120, List.of(listed("i-1", 110))), false);
		doubting.takeWhole(0, 0, new ListingChange(160, 160, List.of(listed("i-2", 150))), true);
		final InstanceListing third = listedUpTo(100);
		third.takeRead(0, 0, new ListingChange(100, 120, List.of(listed("i-1", 110))), false);
		final InstanceListing looked = listedUpTo(100);
		looked.takeRead(0, 0, new ListingChange(100, 120, List.of(listed("i-1", 110))), false);
		looked.takeWhole(0, 0, new ListingChange(170, 170, List.of()), false);
		third.takeTold(0, 0, doubting.since(120).orElseThrow());
		third.takeTold(0, 0, looked.since(third.nextOffset()).orElseThrow());
		assertThat(third.instances()).isEmpty();
		assertThat(third.nextOffset()).isEqualTo(170);
	}

	/**
	 * Guards against an instance whose entry lapsed while the platform's store was away,
	 * and that daemons which were told of the drop would take out, though it writes again
	 * a moment later.
	 */
	@Test
	void whoIsToldOfADropInDoubtKeepsTheInstanceUntilTheDoubtEnds() {
		final InstanceListing doubting = listedUpTo(100);
		doubting.takeRead(0, 0, new ListingChange(100, 120, List.of(listed("i-1", 110))), false);
		doubting.takeRead(0, 0, new ListingChange(120, 130, List.of(new InstanceRecord.Dropped("i-1", 125))), true);
		final InstanceListing told = listedUpTo(100);
		told.takeRead(0, 0, new ListingChange(100, 120, List.of(listed("i-1", 110))), false);
		told.takeTold(0, 0, doubting.since(120).orElseThrow());
		told.takeRead(0, 0, new ListingChange(130, 131, List.of(listed("i-2", 130))), false);
		told.takeTold(0, 0, doubting.since(130).orElseThrow());
		told.settle(0, false);
		assertThat(told.instances()).extracting(ServingInstance::id).containsExactly("i-1", "i-2");
		doubting.settle(0, false);
		assertThat(doubting.takeSettled()).isTrue();
		told.takeTold(0, 0, doubting.since(131).orElseThrow());
		assertThat(told.instances()).extracting(ServingInstance::id).containsExactly("i-2");
		assertThat(told.takeSettled()).isTrue();
	}

	/**
	 * Guards against the late word of a former life, which takes a live instance out of
	 * its group, and against a list that shows the life before for good where the clock
	 * has been set back between the two.
	 */
	@Test
	void theWordOfAFormerLifeIsBelievedOnlyIfTheLaterLifeStaysSilent() {
		final InstanceListing listing = listedUpTo(100);
		listing.takeRead(0, 0, new ListingChange(100, 101, List.of(life("domain-2", 100, 2_000))), false);
		listing.takeRead(0, 0, new ListingChange(101, 102, List.of(life("domain-1", 101, 1_000))), false);
		assertThat(listing.instances()).extracting(ServingInstance::fabricDomain).containsExactly("domain-2");
		listing.takeRead(0, 0, new ListingChange(102, 103, List.of(life("domain-2", 102, 2_000))), false);
		listing.settle(LATER_NANOS, false);
		assertThat(listing.instances()).extracting(ServingInstance::fabricDomain).containsExactly("domain-2");
		assertThat(listing.since(102).orElseThrow().records()).containsExactly(life("domain-2", 102, 2_000));
		listing.takeRead(LATER_NANOS, 0, new ListingChange(103, 104, List.of(life("domain-1", 103, 1_000))), false);
		listing.settle(2 * LATER_NANOS, false);
		assertThat(listing.instances()).extracting(ServingInstance::fabricDomain).containsExactly("domain-1");
	}

	private static InstanceRecord.Listed life(String domain, long offset, long bornMillis) {
		return new InstanceRecord.Listed("i-1", offset, bornMillis, new ServingInstance("i-1", "pool", "10.0.0.1:80",
				"zone", domain, false, 4, Set.of(), Optional.empty()));
	}

	/**
	 * Guards against a look at the whole list that takes a while: what was written while
	 * it went on lies ahead of what it stands for. Told on, it would be kept for good by
	 * whoever hears of its drop from nobody.
	 */
	@Test
	void whoSawRecordsAheadOfItsOffsetTellsNothingUntilItHasReadOn() {
		final InstanceListing looked = new InstanceListing();
		looked.takeWhole(0, 0, new ListingChange(140, 140, List.of(listed("i-1", 143))), false);
		assertThat(looked.known()).isTrue();
		assertThat(looked.tellable()).isFalse();
		final InstanceListing gap = listedUpTo(140);
		gap.takeWhole(0, 0, new ListingChange(150, 150, List.of()), false);
		looked.takeTold(0, 0, gap.since(140).orElseThrow());
		assertThat(looked.nextOffset()).isEqualTo(140);
		looked.takeRead(0, 0,
				new ListingChange(140, 150, List.of(listed("i-1", 143), new InstanceRecord.Dropped("i-1", 145))),
				false);
		assertThat(looked.tellable()).isTrue();
		assertThat(looked.instances()).isEmpty();
	}

	/**
	 * Guards against a daemon that holds a wrong list after it has looked at the store.
	 */
	@Test
	void aLookAtTheWholeListSettlesWhateverWasWrong() {
		final InstanceListing wrong = listedUpTo(100);
		wrong.takeRead(0, 0, new ListingChange(100, 130, List.of(listed("i-1", 110))), false);
		wrong.takeWhole(0, 0, new ListingChange(140, 140, List.of(listed("i-2", 115))), false);
		assertThat(wrong.instances()).extracting(ServingInstance::id).containsExactly("i-2");
		assertThat(wrong.since(135).orElseThrow().fromOffset()).isZero();
		assertThat(wrong.since(130).orElseThrow().records()).containsExactlyInAnyOrder(listed("i-2", 139),
				new InstanceRecord.Dropped("i-1", 139));
	}

	/**
	 * Guards against a whole list that is older than what its reader knows.
	 */
	@Test
	void aWholeListThatIsOlderThanWhatIsKnownTakesNothingBack() {
		final InstanceListing known = listedUpTo(150);
		known.takeRead(0, 0, new ListingChange(150, 160, List.of(listed("i-1", 155))), false);
		known.takeTold(0, 0, new ListingChange(0, 140, List.of()));
		assertThat(known.instances()).hasSize(1);
		assertThat(known.nextOffset()).isEqualTo(160);
	}

	private static InstanceRecord.Listed listed(String key, long offset) {
		return new InstanceRecord.Listed(key, offset, 0,
				new ServingInstance(key, "pool", "10.0.0.1:80", "zone", "", false, 4, Set.of(), Optional.empty()));
	}

	private static InstanceListing listedUpTo(long offset) {
		final InstanceListing listing = new InstanceListing();
		listing.takeWhole(0, 0, new ListingChange(offset, offset, List.of()), false);
		return listing;
	}

}
