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
 * The platform's list of instances as far as this daemon knows it, whether it read it or
 * was told by another daemon.
 * <p>
 * Two things hold at any time, whoever told what in which order:
 * <ul>
 * <li>What is held as listed is the platform's list at {@link #nextOffset()}, no more and
 * no less, so any two daemons at one offset hold the same.</li>
 * <li>What is told from one offset to another turns the list at the first into the list
 * at the second; nothing is told that lies beyond.</li>
 * </ul>
 * An entry that the list shows no more and whose instance may live all the same is used
 * on for a moment ({@link UnconfirmedRemovals}). That a drop is in doubt is told beside
 * it, and changes neither of the two.
 */
final class InstanceListing {

	/**
	 * How many drops are remembered for daemons that were told nothing for a while; some
	 * minutes' worth where ten instances die every three seconds.
	 */
	private static final int MAX_TOMBSTONES = 1_024;

	/** A longer list is read from the platform rather than told. */
	private static final int MAX_SNAPSHOT_RECORDS = 2_000;

	private final Map<String, InstanceRecord.Listed> listed = new HashMap<>();

	private final Map<String, InstanceRecord.Tombstone> tombstones = new LinkedHashMap<>();

	private final UnconfirmedRemovals unconfirmed = new UnconfirmedRemovals();

	private final HistoryCoverage coverage = new HistoryCoverage();

	private boolean known;

	private long nextOffset;

	private long lastChangeOffset;

	/** A look at the whole list may show records that were written while it went on. */
	private long snapshotRecordsEnd;

	private long asOfNanos;

	private boolean changed;

	private boolean resolved;

	/**
	 * Returns whether the list is known at all.
	 * @return whether it is
	 */
	boolean known() {
		return this.known;
	}

	/**
	 * Returns whether others can be told what is known.
	 * @return whether all that is known lies before the first offset that is not
	 */
	boolean isShareable() {
		return this.known && this.snapshotRecordsEnd <= this.nextOffset;
	}

	/**
	 * Returns the first offset that is not known.
	 * @return the offset
	 */
	long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns how old the list is at most.
	 * @param nowNanos the monotonic time
	 * @return the time since the platform was asked for what is known
	 */
	long ageNanos(long nowNanos) {
		return this.known ? nowNanos - this.asOfNanos : ListingSynchronizer.UNKNOWN_AGE_NANOS;
	}

	/**
	 * Takes the newest record of every instance.
	 * @param nowNanos the monotonic time
	 * @param askedAtNanos when the platform was asked
	 * @param whole the records; they count from its first offset
	 * @param unsettled whether entries may have lapsed though their instances live
	 */
	void applySnapshot(long nowNanos, long askedAtNanos, ListingDelta whole, boolean unsettled) {
		if (this.known && whole.fromOffset() < this.nextOffset) {
			return;
		}
		replace(nowNanos, whole, (key) -> expiryCause(unsettled));
		whole.records()
			.forEach((each) -> this.snapshotRecordsEnd = Math.max(this.snapshotRecordsEnd, each.offset() + 1));
		advance(whole.nextOffset(), askedAtNanos);
	}

	private static Optional<Cause> expiryCause(boolean unsettled) {
		return unsettled ? Optional.of(Cause.LEASE_EXPIRED) : Optional.empty();
	}

	// What a whole list shows goes before all that was known, so one look settles
	// whatever was wrong here.
	private void replace(long nowNanos, ListingDelta whole, Function<String, Optional<Cause>> doubtOf) {
		final long offset = whole.nextOffset();
		final Map<String, InstanceRecord.Listed> found = new HashMap<>();
		final Set<String> overwritten = new HashSet<>();
		for (final InstanceRecord each : whole.records()) {
			if (each instanceof InstanceRecord.Listed entry) {
				found.put(entry.key(), entry);
			}
			else {
				overwritten.add(each.key());
			}
		}
		final Set<String> missing = new HashSet<>(this.listed.keySet());
		missing.addAll(this.unconfirmed.keys());
		missing.removeAll(found.keySet());
		missing.forEach((key) -> removeEntry(nowNanos, new InstanceRecord.Tombstone(key, offset - 1),
				overwritten.contains(key) ? Optional.of(Cause.OVERWRITTEN) : doubtOf.apply(key)));
		found.values().forEach((entry) -> addEntry(nowNanos, withResendOffset(entry, offset), true));
		if (this.known) {
			this.coverage.addGap(this.nextOffset, offset);
		}
		else {
			this.coverage.startAt(offset);
		}
	}

	// An entry that lies before what was known and is new all the same was missed here,
	// and whoever was told by this daemon misses it, too.
	private InstanceRecord.Listed withResendOffset(InstanceRecord.Listed entry, long offset) {
		final InstanceRecord.Listed before = this.listed.get(entry.key());
		final boolean missed = this.known && entry.offset() < this.nextOffset
				&& (before == null || !entry.hasSameContent(before));
		return missed ? new InstanceRecord.Listed(entry.key(), offset - 1, entry.startedAtMillis(), entry.instance())
				: entry;
	}

	/**
	 * Takes records that this daemon read from where its knowledge ends.
	 * @param nowNanos the monotonic time
	 * @param askedAtNanos when the platform was asked
	 * @param change the records
	 * @param unsettled whether entries may have lapsed though their instances live
	 */
	void applyRead(long nowNanos, long askedAtNanos, ListingDelta change, boolean unsettled) {
		if (change.fromOffset() > this.nextOffset) {
			return;
		}
		for (final InstanceRecord each : unknownRecords(change)) {
			if (each instanceof InstanceRecord.Listed entry) {
				addEntry(nowNanos, entry, false);
			}
			else if (each instanceof InstanceRecord.Tombstone gone) {
				removeEntry(nowNanos, gone, expiryCause(unsettled));
			}
			else if (this.listed.containsKey(each.key())) {
				removeEntry(nowNanos, new InstanceRecord.Tombstone(each.key(), each.offset()),
						Optional.of(Cause.OVERWRITTEN));
			}
		}
		advance(change.nextOffset(), askedAtNanos);
	}

	// All that lies before the next offset is known, drops included: what is told of it
	// again may be of an instance that was dropped since and is forgotten here.
	private List<InstanceRecord> unknownRecords(ListingDelta change) {
		final long before = this.known ? this.nextOffset : 0;
		return change.records().stream().filter((each) -> each.offset() >= before).toList();
	}

	/**
	 * Takes what another daemon told.
	 * @param nowNanos the monotonic time
	 * @param askedAtNanos when the platform was asked for it
	 * @param change what was told
	 */
	void applyFromPeer(long nowNanos, long askedAtNanos, ListingDelta change) {
		if (!isApplicable(change)) {
			return;
		}
		if (change.fromOffset() == 0) {
			replace(nowNanos, change, (key) -> peerCause(change, key));
		}
		else {
			if (change.gapEndOffset() > this.nextOffset) {
				this.coverage.addGap(this.nextOffset, change.gapEndOffset());
			}
			unknownRecords(change).forEach((each) -> applyPeerRecord(nowNanos, change, each));
		}
		noteResolved(this.unconfirmed.resolveReportedByPeer(change));
		advance(change.nextOffset(), askedAtNanos);
	}

	private void applyPeerRecord(long nowNanos, ListingDelta change, InstanceRecord found) {
		if (found instanceof InstanceRecord.Listed entry) {
			addEntry(nowNanos, entry, true);
		}
		else if (found instanceof InstanceRecord.Tombstone gone) {
			removeEntry(nowNanos, gone, peerCause(change, gone.key()));
		}
	}

	private static Optional<Cause> peerCause(ListingDelta change, String key) {
		return change.unconfirmedKeys().contains(key) ? Optional.of(Cause.REPORTED_BY_PEER) : Optional.empty();
	}

	private void noteResolved(boolean any) {
		this.resolved |= any;
		this.changed |= any;
	}

	// What was asked for later than the start is not the whole list, and what came and
	// went in a gap is missing in what was told: this daemon may have read of its coming
	// since it asked.
	private boolean isApplicable(ListingDelta change) {
		if (change.fromOffset() == 0) {
			return !this.known || change.nextOffset() >= this.nextOffset;
		}
		final boolean acrossGap = change.gapEndOffset() > this.nextOffset;
		final boolean readOn = change.fromOffset() < this.nextOffset || !isShareable();
		return this.known && change.fromOffset() <= this.nextOffset && !(acrossGap && readOn);
	}

	private void advance(long offset, long askedAtNanos) {
		this.changed |= !this.known;
		this.asOfNanos = this.known ? Math.max(this.asOfNanos, askedAtNanos) : askedAtNanos;
		this.known = true;
		this.nextOffset = Math.max(this.nextOffset, offset);
	}

	// What was not seen written may have come anew since others were told of it. Its
	// place is renewed, though it says what is known, so that they hear of it again.
	private void addEntry(long nowNanos, InstanceRecord.Listed entry, boolean renews) {
		final InstanceRecord.Listed before = this.listed.get(entry.key());
		final InstanceRecord.Tombstone gone = this.tombstones.get(entry.key());
		final boolean old = (before != null && entry.offset() <= before.offset())
				|| (gone != null && entry.offset() <= gone.offset());
		final boolean heartbeat = before != null && entry.hasSameContent(before) && !renews;
		if (old || heartbeat) {
			return;
		}
		final Optional<InstanceRecord.Listed> used = entryInUse(entry.key());
		if (used.isEmpty() || entry.startedAtMillis() >= used.get().startedAtMillis()) {
			noteResolved(this.unconfirmed.resolve(entry.key()));
		}
		else {
			this.unconfirmed.retain(nowNanos, used.get(), entry.offset(), Cause.OVERWRITTEN);
		}
		this.listed.put(entry.key(), entry);
		this.tombstones.remove(entry.key());
		this.changed |= used.isEmpty() || !entry.hasSameContent(used.get());
		this.lastChangeOffset = Math.max(this.lastChangeOffset, entry.offset());
	}

	private Optional<InstanceRecord.Listed> entryInUse(String key) {
		return this.unconfirmed.entry(key).or(() -> Optional.ofNullable(this.listed.get(key)));
	}

	// A drop is remembered even where its instance was never heard of here: what is told
	// leaves out the coming of an instance that has gone, but others may have heard of
	// it.
	private void removeEntry(long nowNanos, InstanceRecord.Tombstone gone, Optional<Cause> cause) {
		final InstanceRecord.Listed before = this.listed.get(gone.key());
		final InstanceRecord.Tombstone earlier = this.tombstones.get(gone.key());
		if ((before != null && gone.offset() <= before.offset())
				|| (earlier != null && gone.offset() <= earlier.offset())) {
			return;
		}
		if (cause.isEmpty()) {
			noteResolved(this.unconfirmed.resolve(gone.key()));
		}
		else if (before != null) {
			this.unconfirmed.retain(nowNanos, before, gone.offset(), cause.get());
		}
		this.changed |= this.listed.remove(gone.key()) != null;
		this.tombstones.remove(gone.key());
		this.tombstones.put(gone.key(), gone);
		this.lastChangeOffset = Math.max(this.lastChangeOffset, gone.offset());
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
	 * Drops what was kept in doubt and has not come back.
	 * @param nowNanos the monotonic time
	 * @param unsettled whether entries may have lapsed though their instances live
	 */
	void resolveExpired(long nowNanos, boolean unsettled) {
		noteResolved(this.unconfirmed.resolveExpired(nowNanos, unsettled));
	}

	/**
	 * Returns what another daemon lacks.
	 * @param fromOffset the first offset that it lacks; 0 where it knows nothing
	 * @return the change; the whole list where drops that it may not know of are
	 * forgotten here; empty where that is too long to tell
	 */
	Optional<ListingDelta> deltaSince(long fromOffset) {
		if (!this.known) {
			return Optional.empty();
		}
		if (fromOffset > 0 && !this.coverage.covers(fromOffset)) {
			return deltaSince(0);
		}
		final List<InstanceRecord> news = recordsSince(fromOffset);
		if (fromOffset == 0 && news.size() > MAX_SNAPSHOT_RECORDS) {
			return Optional.empty();
		}
		return Optional.of(new ListingDelta(fromOffset, Math.max(fromOffset, this.nextOffset),
				this.coverage.gapEndOffset(), news, this.unconfirmed.keys()));
	}

	private List<InstanceRecord> recordsSince(long fromOffset) {
		final List<InstanceRecord> news = new ArrayList<>();
		if (fromOffset > this.lastChangeOffset) {
			return news;
		}
		this.listed.values().stream().filter((each) -> each.offset() >= fromOffset).forEach(news::add);
		if (fromOffset > 0) {
			this.tombstones.values().stream().filter((each) -> each.offset() >= fromOffset).forEach(news::add);
		}
		return news;
	}

	/**
	 * Returns whether a daemon that knows the list up to an offset lacks anything.
	 * @param fromOffset the first offset that it lacks
	 * @return whether it does
	 */
	boolean hasChangesSince(long fromOffset) {
		return this.known && fromOffset <= this.lastChangeOffset;
	}

	/**
	 * Returns whether a doubt that others share has ended since this was last asked.
	 * @return whether one has
	 */
	boolean takeResolved() {
		final boolean was = this.resolved;
		this.resolved = false;
		return was;
	}

	/**
	 * Returns whether the list has changed since this was last asked.
	 * @return whether it has
	 */
	boolean takeChanged() {
		final boolean was = this.changed;
		this.changed = false;
		return was;
	}

	/**
	 * Returns all instances that are listed, or may live though they are not.
	 * @return the instances, by id
	 */
	List<ServingInstance> instances() {
		final Map<String, InstanceRecord.Listed> used = new HashMap<>(this.listed);
		this.unconfirmed.entries().forEach((each) -> used.put(each.key(), each));
		return used.values()
			.stream()
			.map(InstanceRecord.Listed::instance)
			.sorted(Comparator.comparing(ServingInstance::id))
			.toList();
	}

}
