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
 * The store of a {@link ListingSimulation} and the instances that write into it.
 */
final class ListingStore {

	/** The store's era stands before a record's index in the log. */
	private static final int ERA_BITS = 40;

	private static final long INDEX_MASK = (1L << ERA_BITS) - 1;

	/** By then a live instance has written again. */
	private static final int HEARTBEAT_MILLIS = 1_200;

	/** By then the store drops an instance that has not. */
	private static final long LEASE_MILLIS = 3 * HEARTBEAT_MILLIS;

	private final Random random;

	private final LongSupplier clockMillis;

	private final BiConsumer<Long, Runnable> scheduler;

	private final List<InstanceRecord> log = new ArrayList<>();

	private final List<Long> writtenAtMillis = new ArrayList<>();

	private final Map<String, InstanceRecord.Listed> entries = new HashMap<>();

	/** What live instances wrote last, whatever the store has kept of it. */
	private final Map<String, InstanceRecord.Listed> lastWritten = new HashMap<>();

	private long firstRetainedIndex;

	private long era;

	/** The position of the first record that was written in this era. */
	private long firstPositionOfEra;

	private long restoredAtMillis = -LEASE_MILLIS;

	/**
	 * Creates an empty store.
	 * @param random draws when instances write
	 * @param clockMillis the virtual time
	 * @param schedule runs something after some milliseconds
	 */
	ListingStore(Random random, LongSupplier clockMillis, BiConsumer<Long, Runnable> schedule) {
		this.random = random;
		this.clockMillis = clockMillis;
		this.scheduler = schedule;
	}

	long restoredAtMillis() {
		return this.restoredAtMillis;
	}

	int size() {
		return this.log.size();
	}

	void truncateHistory() {
		this.firstRetainedIndex = this.log.size();
	}

	void write(int number, long epoch) {
		final String key = "i-" + number;
		final ServingInstance instance = new ServingInstance(key, "pool", "10.0.0.1:" + (1 + number), "zone-a",
				"domain-" + epoch, false, 4, Set.of(), Optional.empty());
		final InstanceRecord.Listed entry = new InstanceRecord.Listed(key, nextPosition(), 0, instance);
		append(entry);
		this.entries.put(key, entry);
		this.lastWritten.put(key, entry);
		// Heartbeats are left out but where they matter.
		if (this.clockMillis.getAsLong() - this.restoredAtMillis < LEASE_MILLIS) {
			this.scheduler.accept((long) HEARTBEAT_MILLIS, () -> renew(entry, 3));
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

	boolean isInCurrentEra(long position) {
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
		this.firstPositionOfEra = position(kept);
		this.entries.clear();
		for (int i = 0; i < kept; i++) {
			this.log.set(i, copyTo(this.log.get(i), position(i)));
		}
		this.lastWritten.values()
			.forEach((entry) -> this.scheduler.accept((long) this.random.nextInt(HEARTBEAT_MILLIS),
					() -> renew(entry, 3)));
		this.entries.keySet()
			.stream()
			.filter((key) -> !this.lastWritten.containsKey(key))
			.forEach((key) -> this.scheduler.accept(LEASE_MILLIS, () -> removeIfExpired(key)));
	}

	private InstanceRecord copyTo(InstanceRecord origin, long position) {
		if (origin instanceof InstanceRecord.Listed entry) {
			final InstanceRecord.Listed copy = new InstanceRecord.Listed(entry.key(), position, entry.startedAtMillis(),
					entry.instance());
			this.entries.put(copy.key(), copy);
			return copy;
		}
		this.entries.remove(origin.key());
		return new InstanceRecord.Tombstone(origin.key(), position);
	}

	// As a heartbeat does, which comes again and again while its instance lives
	// unchanged.
	private void renew(InstanceRecord.Listed entry, int times) {
		if (this.lastWritten.get(entry.key()) != entry) {
			return;
		}
		final InstanceRecord.Listed again = new InstanceRecord.Listed(entry.key(), nextPosition(),
				entry.startedAtMillis(), entry.instance());
		append(again);
		this.entries.put(again.key(), again);
		if (times > 1) {
			this.scheduler.accept((long) HEARTBEAT_MILLIS, () -> renew(entry, times - 1));
		}
	}

	private void removeIfExpired(String key) {
		final InstanceRecord.Listed now = this.entries.get(key);
		if (now != null && now.offset() < this.firstPositionOfEra) {
			this.entries.remove(key);
			append(new InstanceRecord.Tombstone(key, nextPosition()));
		}
	}

	void remove(int number) {
		final String key = "i-" + number;
		if (this.lastWritten.remove(key) != null) {
			this.entries.remove(key);
			append(new InstanceRecord.Tombstone(key, nextPosition()));
		}
	}

	private void append(InstanceRecord found) {
		this.log.add(found);
		this.writtenAtMillis.add(this.clockMillis.getAsLong());
	}

	ListingRead read(ListingAction action) {
		final long end = nextPosition();
		if (action instanceof ListingAction.ReadDelta changes) {
			final boolean gone = !isInCurrentEra(changes.fromOffset())
					|| index(changes.fromOffset()) < this.firstRetainedIndex;
			return gone ? ListingRead.HISTORY_GONE : ListingRead.delta(new ListingDelta(changes.fromOffset(), end,
					this.log.subList((int) index(changes.fromOffset()), this.log.size())));
		}
		final ListingDelta whole = new ListingDelta(end, end, List.copyOf(this.entries.values()));
		return ListingRead.snapshot(whole);
	}

	/**
	 * Returns how old the oldest record is that somebody does not know.
	 * @param nextOffset the first offset that is not known
	 * @return its age; 0 where all is known
	 */
	long lagMillis(long nextOffset) {
		if (!isInCurrentEra(nextOffset)) {
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
