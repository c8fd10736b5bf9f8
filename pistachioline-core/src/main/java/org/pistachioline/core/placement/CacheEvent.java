package org.pistachioline.core.placement;

/**
 * A single change of an engine's prefix cache.
 *
 * @param sequence the engine's sequence number, which rises by one with each change
 * @param kind the kind of change
 * @param hash the hash of the prefix; 0 where the whole cache was cleared
 */
public record CacheEvent(long sequence, Kind kind, long hash) {

	/**
	 * The kinds of cache change.
	 */
	public enum Kind {

		/** A prefix was stored. */
		STORED,

		/** A prefix was evicted. */
		EVICTED,

		/** The whole cache was cleared. */
		CLEARED

	}

}
