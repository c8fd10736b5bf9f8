package org.pistachioline.core.route;

/**
 * Whether the requests of a route may be repeated.
 */
public enum RouteKind {

	/** A request may run more than once. */
	SAFE,

	/** A request may run at most once. */
	UNSAFE,

	/**
	 * The answer is a stream of events. A request may run again only if the stream can be
	 * resumed.
	 */
	STREAM

}
