package org.pistachioline.core.listing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

import org.pistachioline.core.replica.ServingInstance;

/**
 * The store of a {@link ListingWorld} and the instances that write into it.
 */
final class ListingStore {

	/** The store's era stands before a record's index in the log. */
	private static final int ERA_BITS = 40;

	private static final long INDEX_MASK = (1L << ERA_BITS) - 1;

	/** By then a live instance has written again. */
	private static final int HEARTBEAT_MILLIS = 1_200;

	/** By then the store drops an instance that has not. */
	private static final long SILENCE_MILLIS = 3 * HEARTBEAT_MILLIS;

	private final Random random;

	private final LongSupplier clockMillis;

	private final BiConsumer<Long, Runnable> schedule;

	private final List<InstanceRecord> log = new ArrayList<>();

	private final List<Long> writtenAtMillis = new ArrayList<>();

	private final Map<String, InstanceRecord.Listed> newest = new HashMap<>();

	/** What live instances wrote last, whatever the store has kept of it. */
	private final Map<String, InstanceRecord.Listed> live = new HashMap<>();

	private long firstKept;

	private long era;

	/** The position of the first record that was written in this era. */
	private long firstWritten;

	private long restoredAtMillis = -SILENCE_MILLIS;

	/**
	 * Creates an empty store.
	 * @param random draws when instances write
	 * @param clockMillis the virtual time
	 * @param schedule runs something after some milliseconds
	 */
	ListingStore(Random random, LongSupplier clockMillis, BiConsumer<Long, Runnable> schedule) {
		this.random = random;
		this.clockMillis = clockMillis;
		this.schedule = schedule;
	}

	long restoredAtMillis() {
		return this.restoredAtMillis;
	}

	int size() {
		return this.log.size();
	}

	void forgetHistory() {
		this.firstKept = this.log.size();
	}

	void write(int number, long epoch) {
		final String key = "i-" + number;
		final ServingInstance instance = new ServingInstance(key, "pool", "10.0.0.1:" + (1 + number), "zone-a",
				"domain-" + epoch, false, 4, Set.of(), Optional.empty());
		final InstanceRecord.Listed entry = new InstanceRecord.Listed(key, nextPosition(), 0, instance);
		append(entry);
		this.newest.put(key, entry);
		this.live.put(key, entry);
		// Heartbeats are left out but where they matter.
		if (this.clockMillis.getAsLong() - this.restoredAtMillis < SILENCE_MILLIS) {
			this.schedule.accept((long) HEARTBEAT_MILLIS, () -> writeAgain(entry, 3));
		}
	}

	private long nextPosition() {
		return position(this.log.size());
	}

	private long position(long index) {
		return (this.era << ERA_BITS) | index;
	}

	private static long index(long position) {
		return position & INDEX_MASK;
	}

	boolean isOfThisEra(long position) {
		return position >>> ERA_BITS == this.era;
	}

	/**
	 * Brings the store back from a copy. Live instances write again with their next
	 * heartbeat; those that have gone are dropped once more when they stay silent.
	 * @param ageMillis how old the copy is
	 * @param onNewEra is run when the store is back
	 */
	void restore(long ageMillis, Runnable onNewEra) {
		int kept = 0;
		while (kept < this.log.size() && this.writtenAtMillis.get(kept) <= this.clockMillis.getAsLong() - ageMillis) {
			kept++;
		}
		this.log.subList(kept, this.log.size()).clear();
		this.writtenAtMillis.subList(kept, this.writtenAtMillis.size()).clear();
		this.era++;
		onNewEra.run();
		this.restoredAtMillis = this.clockMillis.getAsLong();
		this.firstWritten = position(kept);
		this.newest.clear();
		for (int i = 0; i < kept; i++) {
			this.log.set(i, copied(this.log.get(i), position(i)));
		}
		this.live.values()
			.forEach((entry) -> this.schedule.accept((long) this.random.nextInt(HEARTBEAT_MILLIS),
					() -> writeAgain(entry, 3)));
		this.newest.keySet()
			.stream()
			.filter((key) -> !this.live.containsKey(key))
			.forEach((key) -> this.schedule.accept(SILENCE_MILLIS, () -> dropSilent(key)));
	}

	private InstanceRecord copied(InstanceRecord origin, long position) {
		if (origin instanceof InstanceRecord.Listed entry) {
			final InstanceRecord.Listed copy = new InstanceRecord.Listed(entry.key(), position, entry.bornMillis(),
					entry.instance());
			this.newest.put(copy.key(), copy);
			return copy;
		}
		this.newest.remove(origin.key());
		return new InstanceRecord.Dropped(origin.key(), position);
	}

	// As a heartbeat does, which comes again and again while its instance lives
	// unchanged.
	private void writeAgain(InstanceRecord.Listed entry, int times) {
		if (this.live.get(entry.key()) != entry) {
			return;
		}
		final InstanceRecord.Listed again = new InstanceRecord.Listed(entry.key(), nextPosition(), entry.bornMillis(),
				entry.instance());
		append(again);
		this.newest.put(again.key(), again);
		if (times > 1) {
			this.schedule.accept((long) HEARTBEAT_MILLIS, () -> writeAgain(entry, times - 1));
		}
	}

	private void dropSilent(String key) {
		final InstanceRecord.Listed now = this.newest.get(key);
		if (now != null && now.offset() < this.firstWritten) {
			this.newest.remove(key);
			append(new InstanceRecord.Dropped(key, nextPosition()));
		}
	}

	void drop(int number) {
		final String key = "i-" + number;
		if (this.live.remove(key) != null) {
			this.newest.remove(key);
			append(new InstanceRecord.Dropped(key, nextPosition()));
		}
	}

	private void append(InstanceRecord found) {
		this.log.add(found);
		this.writtenAtMillis.add(this.clockMillis.getAsLong());
	}

	ListingRead answer(ListingAction action) {
		final long end = nextPosition();
		if (action instanceof ListingAction.ReadChanges changes) {
			final boolean gone = !isOfThisEra(changes.fromOffset()) || index(changes.fromOffset()) < this.firstKept;
			return gone ? ListingRead.HISTORY_GONE : ListingRead.changes(new ListingChange(changes.fromOffset(), end,
					this.log.subList((int) index(changes.fromOffset()), this.log.size())));
		}
		final ListingChange whole = new ListingChange(end, end, List.copyOf(this.newest.values()));
		return ListingRead.whole(whole);
	}

	/**
	 * Returns how old the oldest record is that somebody does not know.
	 * @param nextOffset the first offset that is not known
	 * @return its age; 0 where all is known
	 */
	long lateMillis(long nextOffset) {
		if (!isOfThisEra(nextOffset)) {
			return this.clockMillis.getAsLong() - this.restoredAtMillis;
		}
		final int next = (int) index(nextOffset);
		return (next < this.log.size()) ? this.clockMillis.getAsLong() - this.writtenAtMillis.get(next) : 0;
	}

	Set<ServingInstance> listAt(long offset) {
		final Map<String, ServingInstance> list = new HashMap<>();
		for (final InstanceRecord each : this.log.subList(0, (int) index(offset))) {
			if (each instanceof InstanceRecord.Listed entry) {
				list.put(each.key(), entry.instance());
			}
			else {
				list.remove(each.key());
			}
		}
		return new HashSet<>(list.values());
	}

}
