package org.pistachioline.core.placement;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The changes of an engine's prefix cache from a sequence on, as far as it still has
 * them.
 *
 * @param nextSequence the sequence of its next change
 * @param events the changes in order
 */
public record CacheEventPage(long nextSequence, List<CacheEvent> events) {

	public CacheEventPage {
		events = List.copyOf(events);
	}

	/**
	 * Sums the changes up.
	 * @param targetId the target whose cache it is
	 * @param fromSequence the first sequence that was asked for
	 * @return what the cache holds and gave up, and whether changes were lost
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
		// An engine that started anew counts from 0 again; its old events mean nothing.
		final long firstSequence = this.events.isEmpty() ? this.nextSequence : this.events.get(0).sequence();
		final boolean gap = firstSequence != fromSequence;
		return new CacheEvents(targetId, gap, cleared, List.copyOf(stored), List.copyOf(evicted));
	}

}
