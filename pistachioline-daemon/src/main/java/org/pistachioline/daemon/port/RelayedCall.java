package org.pistachioline.daemon.port;

import java.util.List;
import java.util.Optional;

import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMethod;
import org.apache.pekko.util.ByteString;

/**
 * A caller's request, read as a whole, so that it can be sent more than once.
 *
 * @param head what the caller said of it
 * @param method the method
 * @param target path and query as they were sent
 * @param headers the headers that concern more than one connection
 * @param contentType the body's content type
 * @param body the body
 * @param workspace the caller's workspace; empty where the route needs no key
 */
public record RelayedCall(CallHead head, HttpMethod method, String target, List<HttpHeader> headers,
		ContentType contentType, ByteString body, Optional<String> workspace) {

	public RelayedCall {
		headers = List.copyOf(headers);
	}

}
