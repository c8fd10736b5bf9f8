package org.pistachioline.core.route;

/**
 * The bounds on callers' requests and connections.
 *
 * @param maxHeaderBytes the largest size of a request's header
 * @param maxBodyBytes the largest size of a request's body
 * @param headerTimeoutMillis the time in which a request's header must arrive
 * @param idleTimeoutMillis the time after which a connection without a request is closed
 */
public record CallerBounds(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

	/** The bounds until a configuration is known. */
	public static final CallerBounds DEFAULT = new CallerBounds(16_384, 4_194_304, 3_000, 15_000);

}
