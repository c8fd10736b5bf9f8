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
 * The store of a {@link ListingSimulation}, and the instances that write to it.
 */
final class ListingStore {

	/**
	 * A position holds the store's era in the bits above these, and the record's index in
	 * the log in these.
	 */
	private static final int ERA_BITS = 40;

	private static final long INDEX_MASK = (1L << ERA_BITS) - 1;

	/** The longest time between two heartbeats of a live instance. */
	private static final int HEARTBEAT_MILLIS = 1_200;

	/** The store removes an instance that has sent no heartbeat for this long. */
	private static final long LEASE_MILLIS = 3 * HEARTBEAT_MILLIS;

	private final Random random;

	private final LongSupplier clockMillis;

	private final BiConsumer<Long, Runnable> scheduler;

	private final List<InstanceRecord> log = new ArrayList<>();

	private final List<Long> writtenAtMillis = new ArrayList<>();

	private final Map<String, InstanceRecord.Listed> entries = new HashMap<>();

	/**
	 * The latest record of each live instance, including records that a restore has lost.
	 */
	private final Map<String, InstanceRecord.Listed> lastWritten = new HashMap<>();

	private long firstRetainedIndex;

	private long era;

	/** The position of the first record written in the current era. */
	private long firstPositionOfEra;

	private long restoredAtMillis = -LEASE_MILLIS;

	/**
	 * Creates an empty store.
	 * @param random determines when instances write
	 * @param clockMillis returns the virtual time
	 * @param scheduler runs an action after a number of milliseconds
	 */
	ListingStore(Random random, LongSupplier clockMillis, BiConsumer<Long, Runnable> scheduler) {
		this.random = random;
		this.clockMillis = clockMillis;
		this.scheduler = scheduler;
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

	void write(int instanceNumber, long version) {
		final String key = "i-" + instanceNumber;
		final ServingInstance instance = new ServingInstance(key, "pool", "10.0.0.1:" + (1 + instanceNumber), "zone-a",
				"domain-" + version, false, 4, Set.of(), Optional.empty());
		final InstanceRecord.Listed entry = new InstanceRecord.Listed(key, nextPosition(), 0, instance);
		append(entry);
		this.entries.put(key, entry);
		this.lastWritten.put(key, entry);
		// Heartbeats have no effect on the lists except after a restore, so only these
		// are simulated.
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
	 * Restores the store from a backup, which begins a new era. Live instances renew
	 * their entries with their next heartbeat; the entries of those that are gone expire
	 * once more.
	 * @param ageMillis the age of the backup
	 * @param onNewEra runs when the store is available again
	 */
	void restore(long ageMillis, Runnable onNewEra) {
		int retained = 0;
		while (retained < this.log.size()
				&& this.writtenAtMillis.get(retained) <= this.clockMillis.getAsLong() - ageMillis) {
			retained++;
		}
		this.log.subList(retained, this.log.size()).clear();
		this.writtenAtMillis.subList(retained, this.writtenAtMillis.size()).clear();
		this.era++;
		onNewEra.run();
		this.restoredAtMillis = this.clockMillis.getAsLong();
		this.firstPositionOfEra = position(retained);
		this.entries.clear();
		for (int i = 0; i < retained; i++) {
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

	private InstanceRecord copyTo(InstanceRecord original, long position) {
		if (original instanceof InstanceRecord.Listed entry) {
			final InstanceRecord.Listed copy = new InstanceRecord.Listed(entry.key(), position, entry.startedAtMillis(),
					entry.instance());
			this.entries.put(copy.key(), copy);
			return copy;
		}
		this.entries.remove(original.key());
		return new InstanceRecord.Tombstone(original.key(), position);
	}

	// Simulates the heartbeats of an instance whose content does not change.
	private void renew(InstanceRecord.Listed entry, int times) {
		if (this.lastWritten.get(entry.key()) != entry) {
			return;
		}
		final InstanceRecord.Listed renewed = new InstanceRecord.Listed(entry.key(), nextPosition(),
				entry.startedAtMillis(), entry.instance());
		append(renewed);
		this.entries.put(renewed.key(), renewed);
		if (times > 1) {
			this.scheduler.accept((long) HEARTBEAT_MILLIS, () -> renew(entry, times - 1));
		}
	}

	private void removeIfExpired(String key) {
		final InstanceRecord.Listed current = this.entries.get(key);
		if (current != null && current.offset() < this.firstPositionOfEra) {
			this.entries.remove(key);
			append(new InstanceRecord.Tombstone(key, nextPosition()));
		}
	}

	void remove(int instanceNumber) {
		final String key = "i-" + instanceNumber;
		if (this.lastWritten.remove(key) != null) {
			this.entries.remove(key);
			append(new InstanceRecord.Tombstone(key, nextPosition()));
		}
	}

	private void append(InstanceRecord listRecord) {
		this.log.add(listRecord);
		this.writtenAtMillis.add(this.clockMillis.getAsLong());
	}

	ListingRead read(ListingAction action) {
		final long endOffset = nextPosition();
		if (action instanceof ListingAction.ReadDelta readDelta) {
			final boolean truncated = !isInCurrentEra(readDelta.fromOffset())
					|| index(readDelta.fromOffset()) < this.firstRetainedIndex;
			return truncated ? ListingRead.HISTORY_GONE : ListingRead.delta(new ListingDelta(readDelta.fromOffset(),
					endOffset, this.log.subList((int) index(readDelta.fromOffset()), this.log.size())));
		}
		final ListingDelta snapshot = new ListingDelta(endOffset, endOffset, List.copyOf(this.entries.values()));
		return ListingRead.snapshot(snapshot);
	}

	/**
	 * Returns the age of the oldest record that a daemon does not know.
	 * @param nextOffset the daemon's next offset
	 * @return the age; 0 if the daemon knows all records
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
