package org.pistachioline.daemon.port;

import java.util.concurrent.CompletableFuture;

import org.pistachioline.core.listing.ListingRead;

/**
 * The platform's list of instances.
 */
public interface InstanceSource {

	/**
	 * Reads the newest record of every instance.
	 * @return what came of it; it never fails
	 */
	CompletableFuture<ListingRead> readSnapshot();

	/**
	 * Reads the records from an offset on.
	 * @param fromOffset the offset
	 * @return what came of it; it never fails
	 */
	CompletableFuture<ListingRead> readDelta(long fromOffset);

	/**
	 * Returns whether entries that vanish may merely have lapsed, as the platform was
	 * away.
	 * @return whether it is away, or came back lately
	 */
	boolean isExpiryUnreliable();

}
