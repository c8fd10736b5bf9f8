package org.pistachioline.core.placement;

/**
 * One change of an engine's prefix cache.
 *
 * @param sequence rises by one with each change of the engine
 * @param kind what happened
 * @param hash the prefix; 0 where the whole cache was emptied
 */
public record CacheEvent(long sequence, Kind kind, long hash) {

	/**
	 * What happened to a prefix.
	 */
	public enum Kind {

		/** It was stored. */
		STORED,

		/** It was given up. */
		EVICTED,

		/** All were given up. */
		CLEARED

	}

}
