package org.pistachioline.daemon.port;

import java.util.concurrent.CompletableFuture;

import org.pistachioline.core.listing.ListingRead;

/**
 * Reads the platform's list of instances.
 */
public interface InstanceSource {

	/**
	 * Reads the newest record of every instance.
	 * @return the result of the read; the future never completes exceptionally
	 */
	CompletableFuture<ListingRead> readSnapshot();

	/**
	 * Reads the records that were written at an offset or later.
	 * @param fromOffset the offset
	 * @return the result of the read; the future never completes exceptionally
	 */
	CompletableFuture<ListingRead> readDelta(long fromOffset);

	/**
	 * Returns whether entries that disappear may only have expired because the platform
	 * was unavailable and they could not be renewed.
	 * @return whether the platform is unavailable, or became available recently
	 */
	boolean isExpiryUnreliable();

}
