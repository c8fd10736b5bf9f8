package org.pistachioline.standins;

/**
 * How a model engine stand-in behaves.
 *
 * @param checksFencing whether it refuses an order with an old fencing number
 * @param tokenMillis the time between two tokens of one stream
 * @param prefillTokensPerMilli how many prompt tokens it reads in a millisecond
 * @param batchSize how many requests it runs at once
 * @param loadMillis how long it takes to load a model
 * @param cachedPrefixes how many prompt prefixes it keeps
 * @param reportLagMillis how old the load that it reports may be
 */
public record EngineOptions(boolean checksFencing, long tokenMillis, int prefillTokensPerMilli, int batchSize,
		long loadMillis, int cachedPrefixes, long reportLagMillis) {

	/** A small, quick engine that checks fencing numbers. */
	public static final EngineOptions DEFAULT = new EngineOptions(true, 10, 10, 8, 300, 64, 300);

}
