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

import org.pistachioline.core.listing.DoubtfulInstances.Cause;
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
 * on for a moment ({@link DoubtfulInstances}). That a drop is in doubt is told beside it,
 * and changes neither of the two.
 */
final class InstanceListing {

	/**
	 * How many drops are remembered for daemons that were told nothing for a while; some
	 * minutes' worth where ten instances die every three seconds.
	 */
	private static final int MOST_DROPPED = 1_024;

	/** A longer list is read from the platform rather than told. */
	private static final int LONGEST_TOLD = 2_000;

	private final Map<String, InstanceRecord.Listed> listed = new HashMap<>();

	private final Map<String, InstanceRecord.Dropped> dropped = new LinkedHashMap<>();

	private final DoubtfulInstances doubtful = new DoubtfulInstances();

	private final SeenHistory seen = new SeenHistory();

	private boolean known;

	private long nextOffset;

	private long changedOffset;

	/** A look at the whole list may show records that were written while it went on. */
	private long aheadOffset;

	private long freshAtNanos;

	private boolean changed;

	private boolean settled;

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
	boolean tellable() {
		return this.known && this.aheadOffset <= this.nextOffset;
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
		replace(nowNanos, whole, (key) -> lapsed(unsettled));
		whole.records().forEach((each) -> this.aheadOffset = Math.max(this.aheadOffset, each.offset() + 1));
		advance(whole.nextOffset(), askedAtNanos);
	}

	private static Optional<Cause> lapsed(boolean unsettled) {
		return unsettled ? Optional.of(Cause.LAPSED) : Optional.empty();
	}

	// What a whole list shows goes before all that was known, so one look settles
	// whatever was wrong here.
	private void replace(long nowNanos, ListingChange whole, Function<String, Optional<Cause>> doubtOf) {
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
		missing.addAll(this.doubtful.keys());
		missing.removeAll(found.keySet());
		missing.forEach((key) -> vanish(nowNanos, new InstanceRecord.Dropped(key, offset - 1),
				overwritten.contains(key) ? Optional.of(Cause.OVERWRITTEN) : doubtOf.apply(key)));
		found.values().forEach((entry) -> list(nowNanos, renewed(entry, offset), true));
		if (this.known) {
			this.seen.noteGap(this.nextOffset, offset);
		}
		else {
			this.seen.beginAt(offset);
		}
	}

	// An entry that lies before what was known and is new all the same was missed here,
	// and whoever was told by this daemon misses it, too.
	private InstanceRecord.Listed renewed(InstanceRecord.Listed entry, long offset) {
		final InstanceRecord.Listed before = this.listed.get(entry.key());
		final boolean missed = this.known && entry.offset() < this.nextOffset
				&& (before == null || !entry.sameAs(before));
		return missed ? new InstanceRecord.Listed(entry.key(), offset - 1, entry.bornMillis(), entry.instance())
				: entry;
	}

	/**
	 * Takes records that this daemon read from where its knowledge ends.
	 * @param nowNanos the monotonic time
	 * @param askedAtNanos when the platform was asked
	 * @param change the records
	 * @param unsettled whether entries may have lapsed though their instances live
	 */
	void takeRead(long nowNanos, long askedAtNanos, ListingChange change, boolean unsettled) {
		if (change.fromOffset() > this.nextOffset) {
			return;
		}
		for (final InstanceRecord each : newIn(change)) {
			if (each instanceof InstanceRecord.Listed entry) {
				list(nowNanos, entry, false);
			}
			else if (each instanceof InstanceRecord.Dropped gone) {
				vanish(nowNanos, gone, lapsed(unsettled));
			}
			else if (this.listed.containsKey(each.key())) {
				vanish(nowNanos, new InstanceRecord.Dropped(each.key(), each.offset()), Optional.of(Cause.OVERWRITTEN));
			}
		}
		advance(change.nextOffset(), askedAtNanos);
	}

	// All that lies before the next offset is known, drops included: what is told of it
	// again may be of an instance that was dropped since and is forgotten here.
	private List<InstanceRecord> newIn(ListingChange change) {
		final long before = this.known ? this.nextOffset : 0;
		return change.records().stream().filter((each) -> each.offset() >= before).toList();
	}

	/**
	 * Takes what another daemon told.
	 * @param nowNanos the monotonic time
	 * @param askedAtNanos when the platform was asked for it
	 * @param change what was told
	 */
	void takeTold(long nowNanos, long askedAtNanos, ListingChange change) {
		if (!joins(change)) {
			return;
		}
		if (change.fromOffset() == 0) {
			replace(nowNanos, change, (key) -> toldDoubt(change, key));
		}
		else {
			if (change.gapEnd() > this.nextOffset) {
				this.seen.noteGap(this.nextOffset, change.gapEnd());
			}
			newIn(change).forEach((each) -> takeToldRecord(nowNanos, change, each));
		}
		noteSettled(this.doubtful.settleTold(change));
		advance(change.nextOffset(), askedAtNanos);
	}

	private void takeToldRecord(long nowNanos, ListingChange change, InstanceRecord found) {
		if (found instanceof InstanceRecord.Listed entry) {
			list(nowNanos, entry, true);
		}
		else if (found instanceof InstanceRecord.Dropped gone) {
			vanish(nowNanos, gone, toldDoubt(change, gone.key()));
		}
	}

	private static Optional<Cause> toldDoubt(ListingChange change, String key) {
		return change.doubtedKeys().contains(key) ? Optional.of(Cause.TOLD) : Optional.empty();
	}

	private void noteSettled(boolean any) {
		this.settled |= any;
		this.changed |= any;
	}

	// What was asked for later than the start is not the whole list, and what came and
	// went in a gap is missing in what was told: this daemon may have read of its coming
	// since it asked.
	private boolean joins(ListingChange change) {
		if (change.fromOffset() == 0) {
			return !this.known || change.nextOffset() >= this.nextOffset;
		}
		final boolean acrossGap = change.gapEnd() > this.nextOffset;
		final boolean readOn = change.fromOffset() < this.nextOffset || !tellable();
		return this.known && change.fromOffset() <= this.nextOffset && !(acrossGap && readOn);
	}

	private void advance(long offset, long askedAtNanos) {
		this.changed |= !this.known;
		this.freshAtNanos = this.known ? Math.max(this.freshAtNanos, askedAtNanos) : askedAtNanos;
		this.known = true;
		this.nextOffset = Math.max(this.nextOffset, offset);
	}

	// What was not seen written may have come anew since others were told of it. Its
	// place is renewed, though it says what is known, so that they hear of it again.
	private void list(long nowNanos, InstanceRecord.Listed entry, boolean renews) {
		final InstanceRecord.Listed before = this.listed.get(entry.key());
		final InstanceRecord.Dropped gone = this.dropped.get(entry.key());
		final boolean old = (before != null && entry.offset() <= before.offset())
				|| (gone != null && entry.offset() <= gone.offset());
		final boolean heartbeat = before != null && entry.sameAs(before) && !renews;
		if (old || heartbeat) {
			return;
		}
		final Optional<InstanceRecord.Listed> used = used(entry.key());
		if (used.isEmpty() || entry.bornMillis() >= used.get().bornMillis()) {
			noteSettled(this.doubtful.end(entry.key()));
		}
		else {
			this.doubtful.keep(nowNanos, used.get(), entry.offset(), Cause.OVERWRITTEN);
		}
		this.listed.put(entry.key(), entry);
		this.dropped.remove(entry.key());
		this.changed |= used.isEmpty() || !entry.sameAs(used.get());
		this.changedOffset = Math.max(this.changedOffset, entry.offset());
	}

	private Optional<InstanceRecord.Listed> used(String key) {
		return this.doubtful.entry(key).or(() -> Optional.ofNullable(this.listed.get(key)));
	}

	// A drop is remembered even where its instance was never heard of here: what is told
	// leaves out the coming of an instance that has gone, but others may have heard of
	// it.
	private void vanish(long nowNanos, InstanceRecord.Dropped gone, Optional<Cause> cause) {
		final InstanceRecord.Listed before = this.listed.get(gone.key());
		final InstanceRecord.Dropped earlier = this.dropped.get(gone.key());
		if ((before != null && gone.offset() <= before.offset())
				|| (earlier != null && gone.offset() <= earlier.offset())) {
			return;
		}
		if (cause.isEmpty()) {
			noteSettled(this.doubtful.end(gone.key()));
		}
		else if (before != null) {
			this.doubtful.keep(nowNanos, before, gone.offset(), cause.get());
		}
		this.changed |= this.listed.remove(gone.key()) != null;
		this.dropped.remove(gone.key());
		this.dropped.put(gone.key(), gone);
		this.changedOffset = Math.max(this.changedOffset, gone.offset());
		forgetOldDrops();
	}

	private void forgetOldDrops() {
		final Iterator<InstanceRecord.Dropped> oldest = this.dropped.values().iterator();
		while (this.dropped.size() > MOST_DROPPED) {
			this.seen.noteForgotten(oldest.next().offset());
			oldest.remove();
		}
	}

	/**
	 * Drops what was kept in doubt and has not come back.
	 * @param nowNanos the monotonic time
	 * @param unsettled whether entries may have lapsed though their instances live
	 */
	void settle(long nowNanos, boolean unsettled) {
		noteSettled(this.doubtful.settle(nowNanos, unsettled));
	}

	/**
	 * Returns what another daemon lacks.
	 * @param fromOffset the first offset that it lacks; 0 where it knows nothing
	 * @return the change; the whole list where drops that it may not know of are
	 * forgotten here; empty where that is too long to tell
	 */
	Optional<ListingChange> since(long fromOffset) {
		if (!this.known) {
			return Optional.empty();
		}
		if (fromOffset > 0 && !this.seen.covers(fromOffset)) {
			return since(0);
		}
		final List<InstanceRecord> news = newsSince(fromOffset);
		if (fromOffset == 0 && news.size() > LONGEST_TOLD) {
			return Optional.empty();
		}
		return Optional.of(new ListingChange(fromOffset, Math.max(fromOffset, this.nextOffset), this.seen.gapEnd(),
				news, this.doubtful.keys()));
	}

	private List<InstanceRecord> newsSince(long fromOffset) {
		final List<InstanceRecord> news = new ArrayList<>();
		if (fromOffset > this.changedOffset) {
			return news;
		}
		this.listed.values().stream().filter((each) -> each.offset() >= fromOffset).forEach(news::add);
		if (fromOffset > 0) {
			this.dropped.values().stream().filter((each) -> each.offset() >= fromOffset).forEach(news::add);
		}
		return news;
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
	 * Returns whether a doubt that others share has ended since this was last asked.
	 * @return whether one has
	 */
	boolean takeSettled() {
		final boolean was = this.settled;
		this.settled = false;
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
		this.doubtful.entries().forEach((each) -> used.put(each.key(), each));
		return used.values()
			.stream()
			.map(InstanceRecord.Listed::instance)
			.sorted(Comparator.comparing(ServingInstance::id))
			.toList();
	}

}
