package org.pistachioline.adapters.http;

import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/**
 * What a call is for, as its bytes are counted.
 */
public enum CallKind {

	/** A read of the platform's log. */
	LOG_READ,

	/** An append to the platform's log. */
	LOG_APPEND,

	/** A read of the platform's instance list. */
	INSTANCE_LIST,

	/** A probe of what an engine holds. */
	PROBE,

	/** An order to an engine. */
	ORDER,

	/** A read of an engine's cache events. */
	CACHE_EVENTS,

	/** A caller's request, which is no control traffic. */
	REQUEST;

	/**
	 * Tells what a call is for from its path.
	 * @param request the call
	 * @return the kind
	 */
	static CallKind of(HttpRequest request) {
		final String path = request.getUri().path();
		if (path.startsWith("/streams/")) {
			return request.method().equals(HttpMethods.POST) ? LOG_APPEND : LOG_READ;
		}
		return switch (path) {
			case "/instances" -> INSTANCE_LIST;
			case "/engine/held" -> PROBE;
			case "/engine/orders" -> ORDER;
			case "/engine/events" -> CACHE_EVENTS;
			default -> REQUEST;
		};
	}

}
