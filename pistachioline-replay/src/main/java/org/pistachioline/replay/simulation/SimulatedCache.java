package org.pistachioline.replay.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.pistachioline.core.placement.CacheEvents;

/**
 * A small prefix cache, least recently used out first, whose events are read late.
 */
final class SimulatedCache {

	private static final int MAX_EVENTS = 4_096;

	private final int capacity;

	private final LinkedHashMap<Long, Boolean> entries = new LinkedHashMap<>(16, 0.75f, true);

	private final List<Change> changes = new ArrayList<>();

	private long firstChange;

	SimulatedCache(int capacity) {
		this.capacity = capacity;
	}

	int use(List<Long> hashes) {
		if (this.capacity == 0) {
			return 0;
		}
		int cached = 0;
		while (cached < hashes.size() && this.entries.get(hashes.get(cached)) != null) {
			cached++;
		}
		for (final Long hash : hashes.subList(cached, hashes.size())) {
			this.entries.put(hash, Boolean.TRUE);
			note(hash, true);
			if (this.entries.size() > this.capacity) {
				final Long eldest = this.entries.keySet().iterator().next();
				this.entries.remove(eldest);
				note(eldest, false);
			}
		}
		return cached;
	}

	private void note(Long hash, boolean stored) {
		this.changes.add(new Change(hash, stored));
		if (this.changes.size() > MAX_EVENTS) {
			this.changes.remove(0);
			this.firstChange++;
		}
	}

	void clear() {
		this.entries.clear();
	}

	long end() {
		return this.firstChange + this.changes.size();
	}

	CacheEvents events(String targetId, long from, boolean lost) {
		final Map<Long, Boolean> last = new LinkedHashMap<>();
		for (long i = Math.max(from, this.firstChange); i < end(); i++) {
			final Change change = this.changes.get((int) (i - this.firstChange));
			last.put(change.hash(), change.stored());
		}
		final List<Long> stored = new ArrayList<>();
		final List<Long> evicted = new ArrayList<>();
		last.forEach((hash, isStored) -> (isStored ? stored : evicted).add(hash));
		return new CacheEvents(targetId, lost || from < this.firstChange, false, stored, evicted);
	}

	private record Change(Long hash, boolean stored) {
	}

}
