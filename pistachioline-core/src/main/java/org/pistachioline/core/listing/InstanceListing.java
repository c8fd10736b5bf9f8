package org.pistachioline.core.listing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import org.pistachioline.core.listing.UnconfirmedRemovals.Cause;
import org.pistachioline.core.replica.ServingInstance;

/**
 * A daemon's copy of the platform's instance list, kept up to date by its own reads and
 * by deltas from peers.
 * <p>
 * Two invariants hold whatever the sources of the updates and their order:
 * <ul>
 * <li>The entries held as listed are exactly the platform's list at
 * {@link #nextOffset()}, so any two daemons at the same offset hold the same
 * entries.</li>
 * <li>A delta that is sent from one offset to another turns the list at the first into
 * the list at the second, and contains nothing beyond it.</li>
 * </ul>
 * A removed entry whose instance may still be alive stays in use for a while
 * ({@link UnconfirmedRemovals}). Peers are told which removals are unconfirmed next to
 * the records, which does not affect the invariants.
 */
final class InstanceListing {

	/**
	 * The most tombstones retained for peers that have not polled for a while: about five
	 * minutes' worth if ten instances are removed every three seconds.
	 */
	private static final int MAX_TOMBSTONES = 1_024;

	/**
	 * A longer list is not sent as a snapshot; the peer reads it from the platform
	 * instead.
	 */
	private static final int MAX_SNAPSHOT_RECORDS = 2_000;

	private final Map<String, InstanceRecord.Listed> listed = new HashMap<>();

	private final Map<String, InstanceRecord.Tombstone> tombstones = new LinkedHashMap<>();

	private final UnconfirmedRemovals unconfirmed = new UnconfirmedRemovals();

	private final HistoryCoverage coverage = new HistoryCoverage();

	private boolean known;

	private long nextOffset;

	private long lastChangeOffset;

	/**
	 * The offset after the last snapshot record, which exceeds {@code nextOffset} if
	 * records were written while the snapshot was read.
	 */
	private long snapshotRecordsEnd;

	private long asOfNanos;

	private boolean changed;

	private boolean resolved;

	/**
	 * Returns whether this daemon has a list at all.
	 * @return whether it has
	 */
	boolean known() {
		return this.known;
	}

	/**
	 * Returns whether the list can be sent to peers.
	 * @return whether there is a list that reflects no record at or after
	 * {@link #nextOffset()}
	 */
	boolean isShareable() {
		return this.known && this.snapshotRecordsEnd <= this.nextOffset;
	}

	/**
	 * Returns the first offset whose record is not reflected in the list.
	 * @return the offset
	 */
	long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns the upper bound of the list's age.
	 * @param nowNanos the monotonic time
	 * @return the time since the platform read that the list is based on, or
	 * {@link ListingSynchronizer#UNKNOWN_AGE_NANOS} if there is no list
	 */
	long ageNanos(long nowNanos) {
		return this.known ? nowNanos - this.asOfNanos : ListingSynchronizer.UNKNOWN_AGE_NANOS;
	}

	/**
	 * Applies a snapshot that this daemon read from the platform.
	 * @param nowNanos the monotonic time
	 * @param asOfNanos the monotonic time at which the platform was asked
	 * @param snapshot the latest record of every instance
	 * @param expiryUnreliable whether entries may expire although their instances are
	 * alive, because the platform's store is or was recently unavailable
	 */
	void applySnapshot(long nowNanos, long asOfNanos, ListingDelta snapshot, boolean expiryUnreliable) {
		if (this.known && snapshot.fromOffset() < this.nextOffset) {
			return;
		}
		replace(nowNanos, snapshot, (key) -> expiryCause(expiryUnreliable));
		snapshot.records()
			.forEach((each) -> this.snapshotRecordsEnd = Math.max(this.snapshotRecordsEnd, each.offset() + 1));
		advance(snapshot.nextOffset(), asOfNanos);
	}

	private static Optional<Cause> expiryCause(boolean expiryUnreliable) {
		return expiryUnreliable ? Optional.of(Cause.LEASE_EXPIRED) : Optional.empty();
	}

	// A snapshot takes precedence over everything known, so it repairs any error in the
	// copy.
	private void replace(long nowNanos, ListingDelta snapshot, Function<String, Optional<Cause>> causeOf) {
		final long offset = snapshot.nextOffset();
		final Map<String, InstanceRecord.Listed> entries = new HashMap<>();
		final Set<String> overwritten = new HashSet<>();
		for (final InstanceRecord each : snapshot.records()) {
			if (each instanceof InstanceRecord.Listed entry) {
				entries.put(entry.key(), entry);
			}
			else {
				overwritten.add(each.key());
			}
		}
		final Set<String> missing = new HashSet<>(this.listed.keySet());
		missing.addAll(this.unconfirmed.keys());
		missing.removeAll(entries.keySet());
		missing.forEach((key) -> removeEntry(nowNanos, new InstanceRecord.Tombstone(key, offset - 1),
				overwritten.contains(key) ? Optional.of(Cause.OVERWRITTEN) : causeOf.apply(key)));
		entries.values().forEach((entry) -> addEntry(nowNanos, withResendOffset(entry, offset), true));
		if (this.known) {
			this.coverage.addGap(this.nextOffset, offset);
		}
		else {
			this.coverage.startAt(offset);
		}
	}

	// An entry that this daemon should have known before, judging by its offset, is also
	// missing from the copies of the peers it has updated. It moves to the snapshot's
	// offset so that it is sent again.
	private InstanceRecord.Listed withResendOffset(InstanceRecord.Listed entry, long offset) {
		final InstanceRecord.Listed previous = this.listed.get(entry.key());
		final boolean missed = this.known && entry.offset() < this.nextOffset
				&& (previous == null || !entry.hasSameContent(previous));
		return missed ? new InstanceRecord.Listed(entry.key(), offset - 1, entry.startedAtMillis(), entry.instance())
				: entry;
	}

	/**
	 * Applies records that this daemon read from {@link #nextOffset()} on.
	 * @param nowNanos the monotonic time
	 * @param asOfNanos the monotonic time at which the platform was asked
	 * @param delta the records
	 * @param expiryUnreliable whether entries may expire although their instances are
	 * alive, because the platform's store is or was recently unavailable
	 */
	void applyRead(long nowNanos, long asOfNanos, ListingDelta delta, boolean expiryUnreliable) {
		if (delta.fromOffset() > this.nextOffset) {
			return;
		}
		for (final InstanceRecord each : unknownRecords(delta)) {
			if (each instanceof InstanceRecord.Listed entry) {
				addEntry(nowNanos, entry, false);
			}
			else if (each instanceof InstanceRecord.Tombstone tombstone) {
				removeEntry(nowNanos, tombstone, expiryCause(expiryUnreliable));
			}
			else if (this.listed.containsKey(each.key())) {
				removeEntry(nowNanos, new InstanceRecord.Tombstone(each.key(), each.offset()),
						Optional.of(Cause.OVERWRITTEN));
			}
		}
		advance(delta.nextOffset(), asOfNanos);
	}

	// Records before the next offset are known already. Applying one again could bring
	// back an instance whose tombstone has been evicted.
	private List<InstanceRecord> unknownRecords(ListingDelta delta) {
		final long knownUntilOffset = this.known ? this.nextOffset : 0;
		return delta.records().stream().filter((each) -> each.offset() >= knownUntilOffset).toList();
	}

	/**
	 * Applies a complete delta or snapshot from a peer.
	 * @param nowNanos the monotonic time
	 * @param asOfNanos the monotonic time at which the platform was asked for its
	 * contents
	 * @param delta the delta
	 */
	void applyFromPeer(long nowNanos, long asOfNanos, ListingDelta delta) {
		if (!isApplicable(delta)) {
			return;
		}
		if (delta.fromOffset() == 0) {
			replace(nowNanos, delta, (key) -> peerCause(delta, key));
		}
		else {
			if (delta.gapEndOffset() > this.nextOffset) {
				this.coverage.addGap(this.nextOffset, delta.gapEndOffset());
			}
			unknownRecords(delta).forEach((each) -> applyPeerRecord(nowNanos, delta, each));
		}
		noteResolved(this.unconfirmed.resolveReportedByPeer(delta));
		advance(delta.nextOffset(), asOfNanos);
	}

	private void applyPeerRecord(long nowNanos, ListingDelta delta, InstanceRecord peerRecord) {
		if (peerRecord instanceof InstanceRecord.Listed entry) {
			addEntry(nowNanos, entry, true);
		}
		else if (peerRecord instanceof InstanceRecord.Tombstone tombstone) {
			removeEntry(nowNanos, tombstone, peerCause(delta, tombstone.key()));
		}
	}

	private static Optional<Cause> peerCause(ListingDelta delta, String key) {
		return delta.unconfirmedKeys().contains(key) ? Optional.of(Cause.REPORTED_BY_PEER) : Optional.empty();
	}

	private void noteResolved(boolean anyResolved) {
		this.resolved |= anyResolved;
		this.changed |= anyResolved;
	}

	// A delta that starts after this list's end cannot be applied. Neither can one that
	// spans a gap if this list has moved on since the request: it may contain an instance
	// that was added and removed within the gap, and the delta lacks its tombstone.
	private boolean isApplicable(ListingDelta delta) {
		if (delta.fromOffset() == 0) {
			return !this.known || delta.nextOffset() >= this.nextOffset;
		}
		final boolean acrossGap = delta.gapEndOffset() > this.nextOffset;
		final boolean readAhead = delta.fromOffset() < this.nextOffset || !isShareable();
		return this.known && delta.fromOffset() <= this.nextOffset && !(acrossGap && readAhead);
	}

	private void advance(long offset, long asOfNanos) {
		this.changed |= !this.known;
		this.asOfNanos = this.known ? Math.max(this.asOfNanos, asOfNanos) : asOfNanos;
		this.known = true;
		this.nextOffset = Math.max(this.nextOffset, offset);
	}

	// An entry from a snapshot or a peer may have been removed and added again since
	// peers were updated. With resend set, its offset advances even if its content is
	// unchanged, so that it is sent to them again.
	private void addEntry(long nowNanos, InstanceRecord.Listed entry, boolean resend) {
		final InstanceRecord.Listed previous = this.listed.get(entry.key());
		final InstanceRecord.Tombstone tombstone = this.tombstones.get(entry.key());
		final boolean outdated = (previous != null && entry.offset() <= previous.offset())
				|| (tombstone != null && entry.offset() <= tombstone.offset());
		final boolean unchanged = previous != null && entry.hasSameContent(previous) && !resend;
		if (outdated || unchanged) {
			return;
		}
		final Optional<InstanceRecord.Listed> inUse = entryInUse(entry.key());
		if (inUse.isEmpty() || entry.startedAtMillis() >= inUse.get().startedAtMillis()) {
			noteResolved(this.unconfirmed.resolve(entry.key()));
		}
		else {
			this.unconfirmed.retain(nowNanos, inUse.get(), entry.offset(), Cause.OVERWRITTEN);
		}
		this.listed.put(entry.key(), entry);
		this.tombstones.remove(entry.key());
		this.changed |= inUse.isEmpty() || !entry.hasSameContent(inUse.get());
		this.lastChangeOffset = Math.max(this.lastChangeOffset, entry.offset());
	}

	private Optional<InstanceRecord.Listed> entryInUse(String key) {
		return this.unconfirmed.entry(key).or(() -> Optional.ofNullable(this.listed.get(key)));
	}

	// A tombstone is retained even if the instance is unknown here. Deltas omit the entry
	// of an instance that has been removed since, but other peers may have received it.
	private void removeEntry(long nowNanos, InstanceRecord.Tombstone tombstone, Optional<Cause> cause) {
		final InstanceRecord.Listed previous = this.listed.get(tombstone.key());
		final InstanceRecord.Tombstone previousTombstone = this.tombstones.get(tombstone.key());
		if ((previous != null && tombstone.offset() <= previous.offset())
				|| (previousTombstone != null && tombstone.offset() <= previousTombstone.offset())) {
			return;
		}
		if (cause.isEmpty()) {
			noteResolved(this.unconfirmed.resolve(tombstone.key()));
		}
		else if (previous != null) {
			this.unconfirmed.retain(nowNanos, previous, tombstone.offset(), cause.get());
		}
		this.changed |= this.listed.remove(tombstone.key()) != null;
		this.tombstones.remove(tombstone.key());
		this.tombstones.put(tombstone.key(), tombstone);
		this.lastChangeOffset = Math.max(this.lastChangeOffset, tombstone.offset());
		evictOldTombstones();
	}

	private void evictOldTombstones() {
		final Iterator<InstanceRecord.Tombstone> oldest = this.tombstones.values().iterator();
		while (this.tombstones.size() > MAX_TOMBSTONES) {
			this.coverage.onTombstoneEvicted(oldest.next().offset());
			oldest.remove();
		}
	}

	/**
	 * Removes the unconfirmed removals that have been confirmed by time or by the store's
	 * recovery.
	 * @param nowNanos the monotonic time
	 * @param expiryUnreliable whether entries may expire although their instances are
	 * alive, because the platform's store is or was recently unavailable
	 */
	void resolveExpired(long nowNanos, boolean expiryUnreliable) {
		noteResolved(this.unconfirmed.resolveExpired(nowNanos, expiryUnreliable));
	}

	/**
	 * Returns what a peer lacks.
	 * @param fromOffset the first offset that the peer lacks; 0 if it has no list
	 * @return the delta; a snapshot if the history from that offset on is incomplete
	 * here; empty if there is no list or the snapshot would be too long
	 */
	Optional<ListingDelta> deltaSince(long fromOffset) {
		if (!this.known) {
			return Optional.empty();
		}
		if (fromOffset > 0 && !this.coverage.covers(fromOffset)) {
			return deltaSince(0);
		}
		final List<InstanceRecord> records = recordsSince(fromOffset);
		if (fromOffset == 0 && records.size() > MAX_SNAPSHOT_RECORDS) {
			return Optional.empty();
		}
		return Optional.of(new ListingDelta(fromOffset, Math.max(fromOffset, this.nextOffset),
				this.coverage.gapEndOffset(), records, this.unconfirmed.keys()));
	}

	private List<InstanceRecord> recordsSince(long fromOffset) {
		final List<InstanceRecord> records = new ArrayList<>();
		if (fromOffset > this.lastChangeOffset) {
			return records;
		}
		this.listed.values().stream().filter((each) -> each.offset() >= fromOffset).forEach(records::add);
		if (fromOffset > 0) {
			this.tombstones.values().stream().filter((each) -> each.offset() >= fromOffset).forEach(records::add);
		}
		return records;
	}

	/**
	 * Returns whether a peer at an offset lacks any change.
	 * @param fromOffset the first offset that the peer lacks
	 * @return whether it does
	 */
	boolean hasChangesSince(long fromOffset) {
		return this.known && fromOffset <= this.lastChangeOffset;
	}

	/**
	 * Returns whether an unconfirmed removal has been resolved since the last call; peers
	 * that wait for a change are informed then.
	 * @return whether one has
	 */
	boolean takeResolved() {
		final boolean wasSet = this.resolved;
		this.resolved = false;
		return wasSet;
	}

	/**
	 * Returns whether the instances in use have changed since the last call.
	 * @return whether they have
	 */
	boolean takeChanged() {
		final boolean wasSet = this.changed;
		this.changed = false;
		return wasSet;
	}

	/**
	 * Returns all instances in use: the listed ones and those whose removal is
	 * unconfirmed.
	 * @return the instances, sorted by ID
	 */
	List<ServingInstance> instances() {
		final Map<String, InstanceRecord.Listed> inUse = new HashMap<>(this.listed);
		this.unconfirmed.entries().forEach((each) -> inUse.put(each.key(), each));
		return inUse.values()
			.stream()
			.map(InstanceRecord.Listed::instance)
			.sorted(Comparator.comparing(ServingInstance::id))
			.toList();
	}

}
