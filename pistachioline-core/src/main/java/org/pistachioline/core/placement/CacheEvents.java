package org.pistachioline.core.placement;

import java.util.List;

/**
 * The net changes of an engine's prefix cache since it was last read.
 *
 * @param targetId the target that owns the cache
 * @param gap whether events before these were lost
 * @param cleared whether the cache was cleared before the remaining changes
 * @param storedHashes the prefixes that were stored and not evicted again
 * @param evictedHashes the prefixes that were evicted
 */
public record CacheEvents(String targetId, boolean gap, boolean cleared, List<Long> storedHashes,
		List<Long> evictedHashes) {

	public CacheEvents {
		storedHashes = List.copyOf(storedHashes);
		evictedHashes = List.copyOf(evictedHashes);
	}

}
