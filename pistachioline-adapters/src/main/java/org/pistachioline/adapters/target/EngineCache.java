package org.pistachioline.adapters.target;

import java.util.concurrent.CompletableFuture;

import org.pistachioline.core.placement.CacheEventPage;

/**
 * The changes of model engines' prefix caches.
 */
public interface EngineCache {

	/** Asks for no event but only for the sequence of the next. */
	long NONE = Long.MAX_VALUE;

	/**
	 * Reads changes.
	 * @param address the instance's address
	 * @param fromSequence the first sequence wanted; {@link #NONE} for none
	 * @return the changes that the engine still has
	 */
	CompletableFuture<CacheEventPage> changes(String address, long fromSequence);

}
