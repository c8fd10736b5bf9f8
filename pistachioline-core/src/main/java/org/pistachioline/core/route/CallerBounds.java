package org.pistachioline.core.route;

/**
 * What a caller may send and how long it may take.
 *
 * @param headBytes the largest head of a request
 * @param bodyBytes the largest body of a request
 * @param headMillis how long a request's head may take
 * @param idleMillis how long a connection may stay without a request
 */
public record CallerBounds(int headBytes, long bodyBytes, long headMillis, long idleMillis) {

	/** What holds until a configuration is known. */
	public static final CallerBounds DEFAULT = new CallerBounds(16_384, 4_194_304, 3_000, 15_000);

}
