package org.pistachioline.daemon.relay;

import java.util.Locale;
import java.util.Set;

import org.pistachioline.adapters.web.HeaderFields;

/**
 * Tells the headers that concern one connection from those that are passed on.
 */
final class HopByHopHeaders {

	private static final Set<String> NAMES = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect",
			"content-length");

	private HopByHopHeaders() {
	}

	/**
	 * Returns the headers that are passed on.
	 * @param headers the headers of a request or an answer
	 * @return those that do not concern the connection
	 */
	static HeaderFields removeFrom(HeaderFields headers) {
		return headers.without((name) -> NAMES.contains(name.toLowerCase(Locale.ROOT)));
	}

}
