package org.pistachioline.adapters.platform;

import java.util.concurrent.CompletableFuture;

/**
 * The platform's append-only log.
 */
public interface LogService {

	/**
	 * Appends one entry.
	 * @param stream the stream
	 * @param payloadBytes the entry's bytes
	 * @return the entry's offset; fails with {@link AppendException}, which says whether
	 * the entry may have landed
	 */
	CompletableFuture<Long> append(String stream, byte[] payloadBytes);

	/**
	 * Reads entries from an offset on, waiting for the first where there is none yet.
	 * @param stream the stream
	 * @param fromOffset the first offset wanted
	 * @param waitMillis how long to wait for an entry
	 * @return what is there
	 */
	CompletableFuture<LogPage> read(String stream, long fromOffset, long waitMillis);

}
