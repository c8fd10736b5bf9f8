package org.pistachioline.daemon.relay;

import java.util.Locale;
import java.util.Set;

import org.pistachioline.adapters.web.HeaderFields;

/**
 * Removes the headers that apply to a single connection and must not be forwarded. The
 * framing headers are among them, since each side of the relay frames the body anew.
 */
final class HopByHopHeaders {

	private static final Set<String> NAMES = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect",
			"content-length");

	private HopByHopHeaders() {
	}

	/**
	 * Returns the end-to-end headers of a message.
	 * @param headers the headers of a request or response
	 * @return the headers without those that apply to the connection
	 */
	static HeaderFields removeFrom(HeaderFields headers) {
		return headers.without((name) -> NAMES.contains(name.toLowerCase(Locale.ROOT)));
	}

}
