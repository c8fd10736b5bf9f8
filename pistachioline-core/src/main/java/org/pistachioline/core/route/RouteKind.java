package org.pistachioline.core.route;

/**
 * What may be repeated on a route.
 */
public enum RouteKind {

	/** A request may run more than once. */
	SAFE,

	/** A request may run at most once. */
	UNSAFE,

	/**
	 * The answer is a stream of events; it may run again only where it can be resumed.
	 */
	STREAM

}
