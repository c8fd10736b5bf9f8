package org.pistachioline.core.route;

/**
 * What a caller may send and how long it may take.
 *
 * @param maxHeaderBytes the largest head of a request
 * @param maxBodyBytes the largest body of a request
 * @param headerTimeoutMillis how long a request's head may take
 * @param idleTimeoutMillis how long a connection may stay without a request
 */
public record CallerBounds(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

	/** What holds until a configuration is known. */
	public static final CallerBounds DEFAULT = new CallerBounds(16_384, 4_194_304, 3_000, 15_000);

}
