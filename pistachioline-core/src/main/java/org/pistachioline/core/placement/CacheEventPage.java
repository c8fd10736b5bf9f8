package org.pistachioline.core.placement;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The changes of an engine's prefix cache from a requested sequence number on, as far as
 * the engine still retains them.
 *
 * @param nextSequence the sequence number that the engine will give its next change
 * @param events the changes in order
 */
public record CacheEventPage(long nextSequence, List<CacheEvent> events) {

	public CacheEventPage {
		events = List.copyOf(events);
	}

	/**
	 * Reduces the changes to their net effect.
	 * @param targetId the target that owns the cache
	 * @param fromSequence the first sequence number that was requested
	 * @return the prefixes stored and evicted, and whether changes were lost
	 */
	public CacheEvents summarize(String targetId, long fromSequence) {
		final Set<Long> stored = new LinkedHashSet<>();
		final Set<Long> evicted = new LinkedHashSet<>();
		boolean cleared = false;
		for (final CacheEvent event : this.events) {
			switch (event.kind()) {
				case STORED -> {
					stored.add(event.hash());
					evicted.remove(event.hash());
				}
				case EVICTED -> {
					evicted.add(event.hash());
					stored.remove(event.hash());
				}
				case CLEARED -> {
					cleared = true;
					stored.clear();
					evicted.clear();
				}
			}
		}
		// A restarted engine numbers its changes from 0 again, and its earlier changes no
		// longer describe its cache. So any difference is a gap, also a lower number.
		final long firstSequence = this.events.isEmpty() ? this.nextSequence : this.events.get(0).sequence();
		final boolean gap = firstSequence != fromSequence;
		return new CacheEvents(targetId, gap, cleared, List.copyOf(stored), List.copyOf(evicted));
	}

}
