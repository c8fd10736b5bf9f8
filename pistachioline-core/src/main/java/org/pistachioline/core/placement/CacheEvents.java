package org.pistachioline.core.placement;

import java.util.List;

/**
 * What an engine said of its prefix cache since it was last asked.
 *
 * @param targetId the target whose cache it is
 * @param gap whether events before these were lost
 * @param cleared whether the cache was emptied before the events that follow
 * @param storedHashes the prefixes that it holds now
 * @param evictedHashes the prefixes that it gave up
 */
public record CacheEvents(String targetId, boolean gap, boolean cleared, List<Long> storedHashes,
		List<Long> evictedHashes) {

	public CacheEvents {
		storedHashes = List.copyOf(storedHashes);
		evictedHashes = List.copyOf(evictedHashes);
	}

}
