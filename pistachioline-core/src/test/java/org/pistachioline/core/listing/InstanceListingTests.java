package org.pistachioline.core.listing;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.replica.ServingInstance;

import static org.assertj.core.api.Assertions.assertThat;

class InstanceListingTests {

	/** Past every doubt. */
	private static final long PAST_CONFIRMATION_NANOS = 60_000_000_000L;

	/**
	 * An instance comes and goes between two questions, so that only its drop is told.
	 * Another daemon has read of its coming and asks for the rest. Not told of the drop,
	 * it would send requests to an instance that has gone, for as long as it lives
	 * itself.
	 */
	@Test
	void aTombstoneOfAnUnknownInstanceIsPassedOn() {
		final InstanceListing listing = emptyListingAt(100);
		listing.applyFromPeer(0, 0, new ListingDelta(100, 112, List.of(new InstanceRecord.Tombstone("i-1", 110))));
		assertThat(listing.hasChangesSince(107)).isTrue();
		assertThat(listing.deltaSince(107).orElseThrow().records())
			.containsExactly(new InstanceRecord.Tombstone("i-1", 110));
	}

	/**
	 * The platform has dropped its history, and a daemon looks at the whole list. What
	 * came and went meanwhile it never saw, nor does whoever is told by it. A third one
	 * that saw it come must not be told that the rest is complete.
	 */
	@Test
	void aGapInTheHistoryIsPassedOnToPeers() {
		final InstanceListing looked = emptyListingAt(100);
		looked.applySnapshot(0, 0, new ListingDelta(140, 140, List.of()), false);
		assertSendsSnapshot(looked);
		final InstanceListing told = emptyListingAt(100);
		told.applyFromPeer(0, 0, looked.deltaSince(100).orElseThrow());
		assertThat(told.nextOffset()).isEqualTo(140);
		assertSendsSnapshot(told);
		assertThat(told.deltaSince(140).orElseThrow().fromOffset()).isEqualTo(140);
	}

	private static void assertSendsSnapshot(InstanceListing teller) {
		assertThat(teller.deltaSince(120).orElseThrow().fromOffset()).isZero();
		final InstanceListing third = emptyListingAt(100);
		third.applyRead(0, 0, new ListingDelta(100, 120, List.of(listed("i-1", 110), listed("i-2", 111))), false);
		assertThat(third.instances()).hasSize(2);
		third.applyFromPeer(0, 0, teller.deltaSince(120).orElseThrow());
		assertThat(third.instances()).isEmpty();
		assertThat(third.nextOffset()).isEqualTo(140);
	}

	/**
	 * Guards against an answer that comes after its asker has read on: an instance that
	 * came and went in the teller's gap, and that the asker has read of, would be kept.
	 */
	@Test
	void aDeltaAcrossAGapIsIgnoredByAListInsideTheGap() {
		final InstanceListing teller = emptyListingAt(100);
		teller.applySnapshot(0, 0, new ListingDelta(140, 140, List.of()), false);
		final ListingDelta late = teller.deltaSince(100).orElseThrow();
		final InstanceListing asker = emptyListingAt(100);
		asker.applyRead(0, 0, new ListingDelta(100, 120, List.of(listed("i-1", 110))), false);
		asker.applyFromPeer(0, 0, late);
		assertThat(asker.nextOffset()).isEqualTo(120);
		asker.applyFromPeer(0, 0, teller.deltaSince(120).orElseThrow());
		assertThat(asker.instances()).isEmpty();
	}

	/**
	 * Guards against an instance that another daemon dropped and that is not told to it
	 * again, since it came back as this one knew it all the while.
	 */
	@Test
	void unchangedSnapshotEntriesAreSentAgain() {
		final InstanceListing teller = emptyListingAt(100);
		teller.applyRead(0, 0, new ListingDelta(100, 120, List.of(listed("i-1", 110))), false);
		teller.applySnapshot(0, 0, new ListingDelta(150, 150, List.of(listed("i-1", 145))), false);
		assertThat(teller.hasChangesSince(140)).isTrue();
		assertThat(teller.deltaSince(120).orElseThrow().records()).containsExactly(listed("i-1", 145));
	}

	/**
	 * Guards against an entry that one daemon still doubts has gone, and that another
	 * never saw: told the rest by that one, a third would keep it for good.
	 */
	@Test
	void anUnconfirmedRemovalDoesNotHideTheTombstoneFromPeers() {
		final InstanceListing doubting = emptyListingAt(100);
		doubting.applyRead(0, 0, new ListingDelta(100, 120, List.of(listed("i-1", 110))), false);
		doubting.applySnapshot(0, 0, new ListingDelta(160, 160, List.of()), true);
		final InstanceListing started = new InstanceListing();
		started.applySnapshot(0, 0, new ListingDelta(140, 140, List.of()), false);
		started.applyRead(0, 0, new ListingDelta(140, 170, List.of()), false);
		final InstanceListing third = emptyListingAt(100);
		third.applyRead(0, 0, new ListingDelta(100, 120, List.of(listed("i-1", 110))), false);
		third.applyFromPeer(0, 0, doubting.deltaSince(120).orElseThrow());
		third.applyFromPeer(0, 0, started.deltaSince(third.nextOffset()).orElseThrow());
		assertThat(third.instances()).isEmpty();
		assertThat(third.nextOffset()).isEqualTo(170);
	}

	/**
	 * Guards against an entry that one daemon told ahead of the offset up to which it
	 * told all, and that another never saw: told the rest by that one, a third would keep
	 * it for good.
	 */
	@Test
	void noRecordIsSentBeyondTheEndOfTheDelta() {
		final InstanceListing doubting = emptyListingAt(100);
		doubting.applyRead(0, 0, new ListingDelta(100, 120, List.of(listed("i-1", 110))), false);
		doubting.applySnapshot(0, 0, new ListingDelta(160, 160, List.of(listed("i-2", 150))), true);
		final InstanceListing third = emptyListingAt(100);
		third.applyRead(0, 0, new ListingDelta(100, 120, List.of(listed("i-1", 110))), false);
		final InstanceListing looked = emptyListingAt(100);
		looked.applyRead(0, 0, new ListingDelta(100, 120, List.of(listed("i-1", 110))), false);
		looked.applySnapshot(0, 0, new ListingDelta(170, 170, List.of()), false);
		third.applyFromPeer(0, 0, doubting.deltaSince(120).orElseThrow());
		third.applyFromPeer(0, 0, looked.deltaSince(third.nextOffset()).orElseThrow());
		assertThat(third.instances()).isEmpty();
		assertThat(third.nextOffset()).isEqualTo(170);
	}

	/**
	 * Guards against an instance whose entry lapsed while the platform's store was away,
	 * and that daemons which were told of the drop would take out, though it writes again
	 * a moment later.
	 */
	@Test
	void aPeerRetainsAnUnconfirmedRemovalUntilItIsResolved() {
		final InstanceListing doubting = emptyListingAt(100);
		doubting.applyRead(0, 0, new ListingDelta(100, 120, List.of(listed("i-1", 110))), false);
		doubting.applyRead(0, 0, new ListingDelta(120, 130, List.of(new InstanceRecord.Tombstone("i-1", 125))), true);
		final InstanceListing told = emptyListingAt(100);
		told.applyRead(0, 0, new ListingDelta(100, 120, List.of(listed("i-1", 110))), false);
		told.applyFromPeer(0, 0, doubting.deltaSince(120).orElseThrow());
		told.applyRead(0, 0, new ListingDelta(130, 131, List.of(listed("i-2", 130))), false);
		told.applyFromPeer(0, 0, doubting.deltaSince(130).orElseThrow());
		told.resolveExpired(0, false);
		assertThat(told.instances()).extracting(ServingInstance::id).containsExactly("i-1", "i-2");
		doubting.resolveExpired(0, false);
		assertThat(doubting.takeResolved()).isTrue();
		told.applyFromPeer(0, 0, doubting.deltaSince(131).orElseThrow());
		assertThat(told.instances()).extracting(ServingInstance::id).containsExactly("i-2");
		assertThat(told.takeResolved()).isTrue();
	}

	/**
	 * Guards against the late word of a former life, which takes a live instance out of
	 * its group, and against a list that shows the life before for good where the clock
	 * has been set back between the two.
	 */
	@Test
	void aRecordOfAnEarlierIncarnationCountsOnlyIfTheLaterOneStopsRenewing() {
		final InstanceListing listing = emptyListingAt(100);
		listing.applyRead(0, 0, new ListingDelta(100, 101, List.of(incarnation("domain-2", 100, 2_000))), false);
		listing.applyRead(0, 0, new ListingDelta(101, 102, List.of(incarnation("domain-1", 101, 1_000))), false);
		assertThat(listing.instances()).extracting(ServingInstance::fabricDomain).containsExactly("domain-2");
		listing.applyRead(0, 0, new ListingDelta(102, 103, List.of(incarnation("domain-2", 102, 2_000))), false);
		listing.resolveExpired(PAST_CONFIRMATION_NANOS, false);
		assertThat(listing.instances()).extracting(ServingInstance::fabricDomain).containsExactly("domain-2");
		assertThat(listing.deltaSince(102).orElseThrow().records())
			.containsExactly(incarnation("domain-2", 102, 2_000));
		listing.applyRead(PAST_CONFIRMATION_NANOS, 0,
				new ListingDelta(103, 104, List.of(incarnation("domain-1", 103, 1_000))), false);
		listing.resolveExpired(2 * PAST_CONFIRMATION_NANOS, false);
		assertThat(listing.instances()).extracting(ServingInstance::fabricDomain).containsExactly("domain-1");
	}

	private static InstanceRecord.Listed incarnation(String domain, long offset, long bornMillis) {
		return new InstanceRecord.Listed("i-1", offset, bornMillis, new ServingInstance("i-1", "pool", "10.0.0.1:80",
				"zone", domain, false, 4, Set.of(), Optional.empty()));
	}

	/**
	 * Guards against a look at the whole list that takes a while: what was written while
	 * it went on lies ahead of what it stands for. Told on, it would be kept for good by
	 * whoever hears of its drop from nobody.
	 */
	@Test
	void aSnapshotWithRecordsPastItsOffsetIsNotSharedUntilTheListHasCaughtUp() {
		final InstanceListing looked = new InstanceListing();
		looked.applySnapshot(0, 0, new ListingDelta(140, 140, List.of(listed("i-1", 143))), false);
		assertThat(looked.known()).isTrue();
		assertThat(looked.isShareable()).isFalse();
		final InstanceListing gap = emptyListingAt(140);
		gap.applySnapshot(0, 0, new ListingDelta(150, 150, List.of()), false);
		looked.applyFromPeer(0, 0, gap.deltaSince(140).orElseThrow());
		assertThat(looked.nextOffset()).isEqualTo(140);
		looked.applyRead(0, 0,
				new ListingDelta(140, 150, List.of(listed("i-1", 143), new InstanceRecord.Tombstone("i-1", 145))),
				false);
		assertThat(looked.isShareable()).isTrue();
		assertThat(looked.instances()).isEmpty();
	}

	/**
	 * Guards against a daemon that holds a wrong list after it has looked at the store.
	 */
	@Test
	void aSnapshotRepairsAWrongList() {
		final InstanceListing wrong = emptyListingAt(100);
		wrong.applyRead(0, 0, new ListingDelta(100, 130, List.of(listed("i-1", 110))), false);
		wrong.applySnapshot(0, 0, new ListingDelta(140, 140, List.of(listed("i-2", 115))), false);
		assertThat(wrong.instances()).extracting(ServingInstance::id).containsExactly("i-2");
		assertThat(wrong.deltaSince(135).orElseThrow().fromOffset()).isZero();
		assertThat(wrong.deltaSince(130).orElseThrow().records()).containsExactlyInAnyOrder(listed("i-2", 139),
				new InstanceRecord.Tombstone("i-1", 139));
	}

	/**
	 * Guards against a whole list that is older than what its reader knows.
	 */
	@Test
	void anOutdatedSnapshotIsIgnored() {
		final InstanceListing known = emptyListingAt(150);
		known.applyRead(0, 0, new ListingDelta(150, 160, List.of(listed("i-1", 155))), false);
		known.applyFromPeer(0, 0, new ListingDelta(0, 140, List.of()));
		assertThat(known.instances()).hasSize(1);
		assertThat(known.nextOffset()).isEqualTo(160);
	}

	private static InstanceRecord.Listed listed(String key, long offset) {
		return new InstanceRecord.Listed(key, offset, 0,
				new ServingInstance(key, "pool", "10.0.0.1:80", "zone", "", false, 4, Set.of(), Optional.empty()));
	}

	private static InstanceListing emptyListingAt(long offset) {
		final InstanceListing listing = new InstanceListing();
		listing.applySnapshot(0, 0, new ListingDelta(offset, offset, List.of()), false);
		return listing;
	}

}
