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

import org.pistachioline.core.replica.ServingInstance;

/**
 * The platform's list of instances as far as this daemon knows it, whether it read it or
 * was told by another daemon.
 * <p>
 * Both ways may be mixed, and what is told may come late or twice: a record counts only
 * if its offset is higher than that of what is known of its key, so nothing goes back.
 * <p>
 * An instance that the platform dropped is kept for a moment where it may live all the
 * same: while the platform's store is away, entries lapse that their instances could not
 * renew, and a stranger's record may stand in an entry's place. What this daemon tells
 * others ends before such an instance's record, so that they hear of the drop once it is
 * certain.
 */
final class InstanceListing {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** Three heartbeats: by then an instance has written again, or is taken for gone. */
	private static final long DOUBT_NANOS = 3_600 * NANOS_PER_MILLI;

	/**
	 * How many drops are remembered for daemons that were told nothing for a while; some
	 * minutes' worth where ten instances die every three seconds.
	 */
	private static final int MOST_DROPPED = 1_024;

	/** How many records one answer holds; at some 110 bytes each it fits into a frame. */
	static final int MOST_TOLD = 2_000;

	private static final Comparator<InstanceRecord> BY_OFFSET = Comparator.comparingLong(InstanceRecord::offset);

	private final Map<String, InstanceRecord.Listed> listed = new HashMap<>();

	private final Map<String, InstanceRecord.Dropped> dropped = new LinkedHashMap<>();

	private final Map<String, Lapse> lapsing = new HashMap<>();

	private final Map<String, Doubt> doubts = new HashMap<>();

	private boolean known;

	private long nextOffset;

	private long changedOffset;

	private long completeFrom;

	private long gapStart;

	private long gapEnd;

	private long freshAtNanos;

	private boolean changed;

	/**
	 * Returns whether the list is known at all.
	 * @return whether it is
	 */
	boolean known() {
		return this.known;
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
		return this.known ? nowNanos - this.freshAtNanos : ListingNode.NEVER_NANOS;
	}

	/**
	 * Takes the newest record of every instance.
	 * @param nowNanos the monotonic time
	 * @param askedAtNanos when the platform was asked
	 * @param whole the records; they count from its first offset
	 * @param unsettled whether entries may have lapsed though their instances live
	 */
	void takeWhole(long nowNanos, long askedAtNanos, ListingChange whole, boolean unsettled) {
		if (this.known && whole.fromOffset() < this.nextOffset) {
			return;
		}
		final Set<String> found = new HashSet<>();
		whole.records().forEach((each) -> found.add(each.key()));
		final List<InstanceRecord.Listed> missing = this.listed.values()
			.stream()
			.filter((each) -> !found.contains(each.key()) && each.offset() < whole.fromOffset())
			.toList();
		missing.forEach((each) -> take(nowNanos, new InstanceRecord.Dropped(each.key(), whole.fromOffset() - 1),
				unsettled, true));
		whole.records().forEach((each) -> take(nowNanos, each, unsettled, true));
		noteGap(whole.fromOffset());
		advance(whole.nextOffset(), askedAtNanos);
	}

	// What came and went between two looks was never seen here, nor by whoever was told
	// of
	// them by a daemon that looked. A daemon that knows the list up to some offset
	// between
	// the two may have seen it come, and would keep it for ever if it were told the rest.
	private void noteGap(long offset) {
		this.completeFrom = this.known ? Math.max(this.completeFrom, this.gapEnd) : offset;
		this.gapStart = this.nextOffset;
		this.gapEnd = offset;
	}

	/**
	 * Takes records that this daemon read from where its knowledge ends.
	 * @param nowNanos the monotonic time
	 * @param askedAtNanos when the platform was asked
	 * @param change the records
	 * @param unsettled whether entries may have lapsed though their instances live
	 */
	void takeRead(long nowNanos, long askedAtNanos, ListingChange change, boolean unsettled) {
		if (change.fromOffset() <= this.nextOffset) {
			takeNew(nowNanos, change, unsettled, false);
			advance(change.nextOffset(), askedAtNanos);
		}
	}

	// All that lies before the next offset is known, drops included: what is told of it
	// again may be of an instance that was dropped since and is forgotten here.
	private void takeNew(long nowNanos, ListingChange change, boolean unsettled, boolean renews) {
		final long before = this.known ? this.nextOffset : 0;
		change.records()
			.stream()
			.filter((each) -> each.offset() >= before)
			.forEach((each) -> take(nowNanos, each, unsettled, renews));
	}

	/**
	 * Takes what another daemon told.
	 * @param nowNanos the monotonic time
	 * @param askedAtNanos when the platform was asked for it
	 * @param change what was told
	 */
	void takeTold(long nowNanos, long askedAtNanos, ListingChange change) {
		if (this.known && change.fromOffset() == 0) {
			takeWhole(nowNanos, askedAtNanos,
					new ListingChange(change.nextOffset(), change.nextOffset(), change.records()), false);
			return;
		}
		// What was asked for later than the start is not the whole list.
		if ((!this.known && change.fromOffset() != 0) || change.fromOffset() > this.nextOffset) {
			return;
		}
		// What came and went in a gap is missing in what was told. This daemon may have
		// read of its coming since it asked.
		if (this.known && change.fromOffset() < this.nextOffset && this.nextOffset < change.gapEnd()) {
			return;
		}
		if (!this.known) {
			this.completeFrom = change.nextOffset();
		}
		else if (change.gapEnd() > this.nextOffset) {
			noteGap(change.gapEnd());
		}
		takeNew(nowNanos, change, false, true);
		advance(change.nextOffset(), askedAtNanos);
	}

	private void advance(long offset, long askedAtNanos) {
		this.changed |= !this.known;
		this.freshAtNanos = this.known ? Math.max(this.freshAtNanos, askedAtNanos) : askedAtNanos;
		this.known = true;
		this.nextOffset = Math.max(this.nextOffset, offset);
	}

	private void take(long nowNanos, InstanceRecord found, boolean unsettled, boolean renews) {
		if (found instanceof InstanceRecord.Listed entry) {
			list(entry, renews);
		}
		else if (found instanceof InstanceRecord.Dropped gone) {
			if (unsettled && isNews(gone)) {
				lapse(gone, renews);
			}
			else {
				drop(gone);
			}
		}
		else if (isNews(found)) {
			this.doubts.putIfAbsent(found.key(), new Doubt(found.offset(), nowNanos));
		}
	}

	// A look at the whole list does not tell when the entry went: others may have seen it
	// gone at any place since this daemon last knew all.
	private void lapse(InstanceRecord.Dropped gone, boolean missing) {
		final Lapse before = this.lapsing.get(gone.key());
		final long since = missing ? this.nextOffset : gone.offset();
		this.lapsing.put(gone.key(), new Lapse(gone, (before != null) ? Math.min(before.sinceOffset(), since) : since));
	}

	// A live instance writes again within a heartbeat. Taken out for what another writer
	// put in its place, it would break its group for nothing.
	private boolean isNews(InstanceRecord found) {
		final InstanceRecord.Listed before = this.listed.get(found.key());
		return before != null && found.offset() > before.offset();
	}

	// What was not seen written may have come anew since others were told of it. Its
	// place
	// is renewed, though it says what is known, so that they hear of it again.
	private void list(InstanceRecord.Listed entry, boolean renews) {
		final InstanceRecord.Listed before = this.listed.get(entry.key());
		final InstanceRecord.Dropped gone = this.dropped.get(entry.key());
		if ((before != null && entry.offset() <= before.offset())
				|| (gone != null && entry.offset() <= gone.offset())) {
			return;
		}
		final boolean inDoubt = this.lapsing.containsKey(entry.key()) || this.doubts.containsKey(entry.key());
		this.lapsing.computeIfPresent(entry.key(),
				(key, lapse) -> (lapse.gone().offset() < entry.offset()) ? null : lapse);
		this.doubts.computeIfPresent(entry.key(), (key, doubt) -> (doubt.offset() < entry.offset()) ? null : doubt);
		final boolean same = before != null && entry.sameAs(before);
		// The late word of a life that is over is no news, nor is a heartbeat.
		if ((before != null && entry.bornMillis() < before.bornMillis()) || (same && !renews && !inDoubt)) {
			return;
		}
		this.listed.put(entry.key(), entry);
		this.dropped.remove(entry.key());
		this.changed |= !same;
		this.changedOffset = Math.max(this.changedOffset, entry.offset());
	}

	// A drop is remembered even where its instance was never heard of here: what is told
	// leaves out the coming of an instance that has gone, but others may have heard of
	// it.
	private void drop(InstanceRecord.Dropped gone) {
		final InstanceRecord.Listed before = this.listed.get(gone.key());
		final InstanceRecord.Dropped earlier = this.dropped.get(gone.key());
		if ((before != null && gone.offset() <= before.offset())
				|| (earlier != null && gone.offset() <= earlier.offset())) {
			return;
		}
		this.changed |= this.listed.remove(gone.key()) != null;
		this.lapsing.remove(gone.key());
		this.doubts.remove(gone.key());
		this.dropped.remove(gone.key());
		this.dropped.put(gone.key(), gone);
		this.changedOffset = Math.max(this.changedOffset, gone.offset());
		forgetOldDrops();
	}

	private void forgetOldDrops() {
		final Iterator<InstanceRecord.Dropped> oldest = this.dropped.values().iterator();
		while (this.dropped.size() > MOST_DROPPED) {
			this.completeFrom = Math.max(this.completeFrom, oldest.next().offset() + 1);
			oldest.remove();
		}
	}

	/**
	 * Drops what was kept in doubt and has not come back.
	 * @param nowNanos the monotonic time
	 * @param unsettled whether entries may have lapsed though their instances live
	 */
	void settle(long nowNanos, boolean unsettled) {
		if (!unsettled && !this.lapsing.isEmpty()) {
			List.copyOf(this.lapsing.values()).forEach((lapse) -> drop(lapse.gone()));
			this.lapsing.clear();
		}
		if (!this.doubts.isEmpty()) {
			final Map<String, Doubt> old = new HashMap<>(this.doubts);
			old.values().removeIf((doubt) -> nowNanos - doubt.sinceNanos() < DOUBT_NANOS);
			old.forEach((key, doubt) -> drop(new InstanceRecord.Dropped(key, doubt.offset())));
			this.doubts.keySet().removeAll(old.keySet());
		}
	}

	/**
	 * Returns what another daemon lacks.
	 * @param fromOffset the first offset that it lacks; 0 where it knows nothing
	 * @return the change; the whole list where drops that it may not know of are
	 * forgotten here; empty where that is too long to tell
	 */
	Optional<ListingChange> since(long fromOffset) {
		final boolean inGap = fromOffset > this.gapStart && fromOffset < this.gapEnd;
		if (!this.known) {
			return Optional.empty();
		}
		if (inGap || (fromOffset > 0 && fromOffset < this.completeFrom)) {
			return since(0);
		}
		final long nextToTell = Math.max(fromOffset, certainOffset());
		if (fromOffset > this.changedOffset) {
			return Optional.of(new ListingChange(fromOffset, nextToTell, this.gapEnd, List.of()));
		}
		final List<InstanceRecord> news = new ArrayList<>();
		this.listed.values().stream().filter((each) -> each.offset() >= fromOffset).forEach(news::add);
		if (fromOffset > 0) {
			this.dropped.values().stream().filter((each) -> each.offset() >= fromOffset).forEach(news::add);
		}
		if (news.size() <= MOST_TOLD) {
			return Optional.of(new ListingChange(fromOffset, nextToTell, this.gapEnd, news));
		}
		if (fromOffset == 0) {
			return Optional.empty();
		}
		news.sort(BY_OFFSET);
		final List<InstanceRecord> first = news.subList(0, MOST_TOLD);
		return Optional.of(new ListingChange(fromOffset, first.get(MOST_TOLD - 1).offset() + 1, this.gapEnd, first));
	}

	// Drops that are in doubt are told, if ever, when they are certain; so the offset
	// must not pass them before.
	private long certainOffset() {
		long offset = this.nextOffset;
		for (final Lapse lapse : this.lapsing.values()) {
			offset = Math.min(offset, lapse.sinceOffset());
		}
		for (final Doubt doubt : this.doubts.values()) {
			offset = Math.min(offset, doubt.offset());
		}
		return offset;
	}

	/**
	 * Returns whether a daemon that knows the list up to an offset lacks anything.
	 * @param fromOffset the first offset that it lacks
	 * @return whether it does
	 */
	boolean hasNewsSince(long fromOffset) {
		return this.known && fromOffset <= this.changedOffset;
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
	 * Returns all listed instances.
	 * @return the instances, by id
	 */
	List<ServingInstance> instances() {
		return this.listed.values()
			.stream()
			.map(InstanceRecord.Listed::instance)
			.sorted(Comparator.comparing(ServingInstance::id))
			.toList();
	}

	/**
	 * The entry of an instance that may live has lapsed.
	 *
	 * @param gone the drop, once it is certain
	 * @param sinceOffset the first offset at which it may have gone
	 */
	private record Lapse(InstanceRecord.Dropped gone, long sinceOffset) {

	}

	/**
	 * A record that names no instance stands in an instance's place.
	 *
	 * @param offset the offset of the first such record
	 * @param sinceNanos when it was read, by the monotonic clock
	 */
	private record Doubt(long offset, long sinceNanos) {

	}

}
