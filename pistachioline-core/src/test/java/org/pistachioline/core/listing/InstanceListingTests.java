package org.pistachioline.core.listing;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.replica.ServingInstance;

import static org.assertj.core.api.Assertions.assertThat;

class InstanceListingTests {

	/** Longer than any removal stays unconfirmed. */
	private static final long PAST_CONFIRMATION_NANOS = 60_000_000_000L;

	/**
	 * Guards against a daemon that keeps sending requests to an instance that is gone.
	 * The instance is added and removed between two polls, so only its tombstone is
	 * received. A peer that has read the addition must be sent the tombstone.
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
	 * Guards against a delta that is taken for complete although its sender missed
	 * changes. The sender, or the daemon that updated it, has read a snapshot after the
	 * platform discarded its history, and never saw an instance that was added and
	 * removed in between. A peer that has read the addition needs a snapshot.
	 */
	@Test
	void aGapInTheHistoryIsPassedOnToPeers() {
		final InstanceListing snapshotReader = emptyListingAt(100);
		snapshotReader.applySnapshot(0, 0, new ListingDelta(140, 140, List.of()), false);
		assertSendsSnapshot(snapshotReader);
		final InstanceListing peer = emptyListingAt(100);
		peer.applyFromPeer(0, 0, snapshotReader.deltaSince(100).orElseThrow());
		assertThat(peer.nextOffset()).isEqualTo(140);
		assertSendsSnapshot(peer);
		assertThat(peer.deltaSince(140).orElseThrow().fromOffset()).isEqualTo(140);
	}

	private static void assertSendsSnapshot(InstanceListing sender) {
		assertThat(sender.deltaSince(120).orElseThrow().fromOffset()).isZero();
		final InstanceListing third = emptyListingAt(100);
		third.applyRead(0, 0, new ListingDelta(100, 120, List.of(listed("i-1", 110), listed("i-2", 111))), false);
		assertThat(third.instances()).hasSize(2);
		third.applyFromPeer(0, 0, sender.deltaSince(120).orElseThrow());
		assertThat(third.instances()).isEmpty();
		assertThat(third.nextOffset()).isEqualTo(140);
	}

	/**
	 * Guards against a response that arrives after its requester has read on. The
	 * requester has read the addition of an instance that was added and removed in the
	 * responder's gap, and would keep it.
	 */
	@Test
	void aDeltaAcrossAGapIsIgnoredByAListInsideTheGap() {
		final InstanceListing sender = emptyListingAt(100);
		sender.applySnapshot(0, 0, new ListingDelta(140, 140, List.of()), false);
		final ListingDelta lateDelta = sender.deltaSince(100).orElseThrow();
		final InstanceListing requester = emptyListingAt(100);
		requester.applyRead(0, 0, new ListingDelta(100, 120, List.of(listed("i-1", 110))), false);
		requester.applyFromPeer(0, 0, lateDelta);
		assertThat(requester.nextOffset()).isEqualTo(120);
		requester.applyFromPeer(0, 0, sender.deltaSince(120).orElseThrow());
		assertThat(requester.instances()).isEmpty();
	}

	/**
	 * Guards against an instance that a peer has removed and is never sent again. The
	 * sender's entry has the same content before and after its snapshot, but a peer may
	 * have seen the instance removed in between.
	 */
	@Test
	void unchangedSnapshotEntriesAreSentAgain() {
		final InstanceListing sender = emptyListingAt(100);
		sender.applyRead(0, 0, new ListingDelta(100, 120, List.of(listed("i-1", 110))), false);
		sender.applySnapshot(0, 0, new ListingDelta(150, 150, List.of(listed("i-1", 145))), false);
		assertThat(sender.hasChangesSince(140)).isTrue();
		assertThat(sender.deltaSince(120).orElseThrow().records()).containsExactly(listed("i-1", 145));
	}

	/**
	 * Guards against an entry that a third daemon keeps forever. One peer still considers
	 * its removal unconfirmed, and the other one never saw the entry, so neither may
	 * leave the tombstone to the other.
	 */
	@Test
	void anUnconfirmedRemovalDoesNotHideTheTombstoneFromPeers() {
		final InstanceListing retaining = emptyListingAt(100);
		retaining.applyRead(0, 0, new ListingDelta(100, 120, List.of(listed("i-1", 110))), false);
		retaining.applySnapshot(0, 0, new ListingDelta(160, 160, List.of()), true);
		final InstanceListing restarted = new InstanceListing();
		restarted.applySnapshot(0, 0, new ListingDelta(140, 140, List.of()), false);
		restarted.applyRead(0, 0, new ListingDelta(140, 170, List.of()), false);
		final InstanceListing third = emptyListingAt(100);
		third.applyRead(0, 0, new ListingDelta(100, 120, List.of(listed("i-1", 110))), false);
		third.applyFromPeer(0, 0, retaining.deltaSince(120).orElseThrow());
		third.applyFromPeer(0, 0, restarted.deltaSince(third.nextOffset()).orElseThrow());
		assertThat(third.instances()).isEmpty();
		assertThat(third.nextOffset()).isEqualTo(170);
	}

	/**
	 * Guards against an entry that a third daemon keeps forever. One peer sent it ahead
	 * of the end of its delta, and the other one never saw it, so its later delta has no
	 * tombstone.
	 */
	@Test
	void noRecordIsSentBeyondTheEndOfTheDelta() {
		final InstanceListing retaining = emptyListingAt(100);
		retaining.applyRead(0, 0, new ListingDelta(100, 120, List.of(listed("i-1", 110))), false);
		retaining.applySnapshot(0, 0, new ListingDelta(160, 160, List.of(listed("i-2", 150))), true);
		final InstanceListing third = emptyListingAt(100);
		third.applyRead(0, 0, new ListingDelta(100, 120, List.of(listed("i-1", 110))), false);
		final InstanceListing snapshotReader = emptyListingAt(100);
		snapshotReader.applyRead(0, 0, new ListingDelta(100, 120, List.of(listed("i-1", 110))), false);
		snapshotReader.applySnapshot(0, 0, new ListingDelta(170, 170, List.of()), false);
		third.applyFromPeer(0, 0, retaining.deltaSince(120).orElseThrow());
		third.applyFromPeer(0, 0, snapshotReader.deltaSince(third.nextOffset()).orElseThrow());
		assertThat(third.instances()).isEmpty();
		assertThat(third.nextOffset()).isEqualTo(170);
	}

	/**
	 * Guards against a live instance that is removed by the peers of a daemon that
	 * retains it. The instance's entry expired while the platform's store was
	 * unavailable, and the instance renews it a moment later.
	 */
	@Test
	void aPeerRetainsAnUnconfirmedRemovalUntilItIsResolved() {
		final InstanceListing retaining = emptyListingAt(100);
		retaining.applyRead(0, 0, new ListingDelta(100, 120, List.of(listed("i-1", 110))), false);
		retaining.applyRead(0, 0, new ListingDelta(120, 130, List.of(new InstanceRecord.Tombstone("i-1", 125))), true);
		final InstanceListing peer = emptyListingAt(100);
		peer.applyRead(0, 0, new ListingDelta(100, 120, List.of(listed("i-1", 110))), false);
		peer.applyFromPeer(0, 0, retaining.deltaSince(120).orElseThrow());
		peer.applyRead(0, 0, new ListingDelta(130, 131, List.of(listed("i-2", 130))), false);
		peer.applyFromPeer(0, 0, retaining.deltaSince(130).orElseThrow());
		peer.resolveExpired(0, false);
		assertThat(peer.instances()).extracting(ServingInstance::id).containsExactly("i-1", "i-2");
		retaining.resolveExpired(0, false);
		assertThat(retaining.takeResolved()).isTrue();
		peer.applyFromPeer(0, 0, retaining.deltaSince(131).orElseThrow());
		assertThat(peer.instances()).extracting(ServingInstance::id).containsExactly("i-2");
		assertThat(peer.takeResolved()).isTrue();
	}

	/**
	 * Guards against a live instance that is taken out of its group by a late record of
	 * its earlier incarnation. If the machine's clock was set back between the two, the
	 * record that looks older is the valid one; it counts once the other one is no longer
	 * renewed.
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

	private static InstanceRecord.Listed incarnation(String fabricDomain, long offset, long bornMillis) {
		return new InstanceRecord.Listed("i-1", offset, bornMillis, new ServingInstance("i-1", "pool", "10.0.0.1:80",
				"zone", fabricDomain, false, 4, Set.of(), Optional.empty()));
	}

	/**
	 * Guards against an entry that peers keep forever. A record that was written while a
	 * snapshot was read lies ahead of the snapshot's offset; if it was sent on, a peer
	 * might never receive its tombstone.
	 */
	@Test
	void aSnapshotWithRecordsPastItsOffsetIsNotSharedUntilTheListHasCaughtUp() {
		final InstanceListing snapshotReader = new InstanceListing();
		snapshotReader.applySnapshot(0, 0, new ListingDelta(140, 140, List.of(listed("i-1", 143))), false);
		assertThat(snapshotReader.known()).isTrue();
		assertThat(snapshotReader.isShareable()).isFalse();
		final InstanceListing afterGap = emptyListingAt(140);
		afterGap.applySnapshot(0, 0, new ListingDelta(150, 150, List.of()), false);
		snapshotReader.applyFromPeer(0, 0, afterGap.deltaSince(140).orElseThrow());
		assertThat(snapshotReader.nextOffset()).isEqualTo(140);
		snapshotReader.applyRead(0, 0,
				new ListingDelta(140, 150, List.of(listed("i-1", 143), new InstanceRecord.Tombstone("i-1", 145))),
				false);
		assertThat(snapshotReader.isShareable()).isTrue();
		assertThat(snapshotReader.instances()).isEmpty();
	}

	/**
	 * Guards against errors in a list that outlast a snapshot.
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
	 * Guards against a late response that takes a list back to an older state.
	 */
	@Test
	void anOutdatedSnapshotIsIgnored() {
		final InstanceListing listing = emptyListingAt(150);
		listing.applyRead(0, 0, new ListingDelta(150, 160, List.of(listed("i-1", 155))), false);
		listing.applyFromPeer(0, 0, new ListingDelta(0, 140, List.of()));
		assertThat(listing.instances()).hasSize(1);
		assertThat(listing.nextOffset()).isEqualTo(160);
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
