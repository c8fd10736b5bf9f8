package org.pistachioline.core.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers which targets were seen to hold which prompt prefixes.
 * <p>
 * Made for prompts that share their beginning, before engines whose caches are small and
 * whose events come late and with gaps. It is a hint and never a promise: an entry that
 * is wrong costs one prefill. It is bounded in two ways, since prompts come from callers:
 * the prefixes are dropped least recently used first, and each names a few targets only.
 */
final class PrefixIndex {

	/**
	 * How many holders of one prefix are kept; more would spread it over small caches.
	 */
	static final int MAX_HOLDERS = 4;

	private final int maxPrefixes;

	private final LinkedHashMap<Long, Holders> prefixes;

	private final Map<String, Long> invalidBeforeNanos = new HashMap<>();

	PrefixIndex(int maxPrefixes) {
		this.maxPrefixes = maxPrefixes;
		this.prefixes = new LinkedHashMap<>(16, 0.75f, true);
	}

	void add(long nowNanos, List<Long> hashes, String targetId) {
		for (final Long hash : hashes) {
			final Holders holders = this.prefixes.get(hash);
			if (holders != null) {
				holders.add(nowNanos, targetId);
			}
			else {
				this.prefixes.put(hash, new Holders(nowNanos, targetId));
				evictLeastRecentlyUsed();
			}
		}
	}

	private void evictLeastRecentlyUsed() {
		if (this.prefixes.size() > this.maxPrefixes) {
			this.prefixes.remove(this.prefixes.keySet().iterator().next());
		}
	}

	void apply(long nowNanos, CacheEvents events) {
		// A gap is passed over: an eviction that was missed costs one prefill and is
		// found
		// out by the next placement, while dropping what is known costs one a prefix.
		if (events.cleared()) {
			this.invalidBeforeNanos.put(events.targetId(), nowNanos);
		}
		add(nowNanos, events.storedHashes(), events.targetId());
		for (final Long hash : events.evictedHashes()) {
			final Holders holders = this.prefixes.get(hash);
			if (holders != null) {
				holders.remove(events.targetId());
			}
		}
	}

	void removeTarget(String targetId) {
		this.invalidBeforeNanos.put(targetId, Long.MAX_VALUE);
		if (this.invalidBeforeNanos.size() > this.maxPrefixes) {
			this.invalidBeforeNanos.clear();
		}
	}

	/**
	 * Finds the targets that hold most of a prompt.
	 * @param hashes the prompt's prefixes, the shortest first
	 * @param found takes the targets, the one that holds most first
	 */
	void findMatches(List<Long> hashes, Matches found) {
		found.count = 0;
		for (int i = hashes.size() - 1; i >= 0 && found.count < MAX_HOLDERS; i--) {
			final Holders holders = this.prefixes.get(hashes.get(i));
			if (holders != null) {
				for (int j = 0; j < holders.count; j++) {
					if (holders.seenAtNanos[j] >= this.invalidBeforeNanos.getOrDefault(holders.targetIds[j],
							Long.MIN_VALUE)) {
						found.add(holders.targetIds[j], i + 1);
					}
				}
			}
		}
	}

	int size() {
		return this.prefixes.size();
	}

	/**
	 * The result of a search, used again for the next one.
	 */
	static final class Matches {

		private final String[] targetIds = new String[MAX_HOLDERS];

		private final int[] blocks = new int[MAX_HOLDERS];

		private int count;

		private void add(String targetId, int heldBlocks) {
			if (this.count < MAX_HOLDERS && cachedBlocks(targetId) == 0) {
				this.targetIds[this.count] = targetId;
				this.blocks[this.count] = heldBlocks;
				this.count++;
			}
		}

		int count() {
			return this.count;
		}

		String targetId(int index) {
			return this.targetIds[index];
		}

		int cachedBlocks(String targetId) {
			for (int i = 0; i < this.count; i++) {
				if (this.targetIds[i].equals(targetId)) {
					return this.blocks[i];
				}
			}
			return 0;
		}

	}

	private static final class Holders {

		private final String[] targetIds = new String[MAX_HOLDERS];

		private final long[] seenAtNanos = new long[MAX_HOLDERS];

		private int count;

		Holders(long nowNanos, String targetId) {
			add(nowNanos, targetId);
		}

		void add(long nowNanos, String targetId) {
			int at = indexOf(targetId);
			if (at < 0) {
				at = (this.count < MAX_HOLDERS) ? this.count++ : oldest();
			}
			this.targetIds[at] = targetId;
			this.seenAtNanos[at] = nowNanos;
		}

		void remove(String targetId) {
			final int at = indexOf(targetId);
			if (at >= 0) {
				this.count--;
				this.targetIds[at] = this.targetIds[this.count];
				this.seenAtNanos[at] = this.seenAtNanos[this.count];
				this.targetIds[this.count] = null;
			}
		}

		private int indexOf(String targetId) {
			for (int i = 0; i < this.count; i++) {
				if (this.targetIds[i].equals(targetId)) {
					return i;
				}
			}
			return -1;
		}

		private int oldest() {
			int oldest = 0;
			for (int i = 1; i < this.count; i++) {
				if (this.seenAtNanos[i] < this.seenAtNanos[oldest]) {
					oldest = i;
				}
			}
			return oldest;
		}

	}

}
