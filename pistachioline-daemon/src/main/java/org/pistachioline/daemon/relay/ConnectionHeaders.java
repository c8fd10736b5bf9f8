package org.pistachioline.daemon.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMessage;

/**
 * Tells the headers that concern one connection from those that are passed on.
 */
final class ConnectionHeaders {

	private static final Set<String> OF_CONNECTION = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect",
			"content-length", "content-type", "raw-request-uri", "timeout-access", "remote-address");

	private ConnectionHeaders() {
	}

	/**
	 * Returns the headers that are passed on.
	 * @param message a request or an answer
	 * @return its headers without those of the connection
	 */
	static List<HttpHeader> passedOn(HttpMessage message) {
		final List<HttpHeader> passed = new ArrayList<>();
		message.getHeaders().forEach((header) -> {
			if (!OF_CONNECTION.contains(header.lowercaseName())) {
				passed.add(header);
			}
		});
		return passed;
	}

}
