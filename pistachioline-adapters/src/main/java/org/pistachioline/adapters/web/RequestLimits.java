package org.pistachioline.adapters.web;

/**
 * What a caller may send and how long it may take.
 *
 * @param headBytes the largest first line, and the most bytes of header fields
 * @param headMillis how long a request's head may take from its first byte on
 * @param bodyBytes the largest body
 * @param bodyMillis how long a request may take from its first byte to its last
 * @param idleMillis how long a connection may stay without a request
 */
public record RequestLimits(int headBytes, long headMillis, long bodyBytes, long bodyMillis, long idleMillis) {

	/** What suits operators' calls and look-ups. */
	public static final RequestLimits DEFAULT = new RequestLimits(16_384, 5_000, 65_536, 5_000, 60_000);

}
