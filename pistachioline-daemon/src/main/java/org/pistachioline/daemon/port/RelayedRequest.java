package org.pistachioline.daemon.port;

import java.util.Optional;

import org.pistachioline.adapters.web.Body;
import org.pistachioline.adapters.web.HeaderFields;

/**
 * A caller's request, buffered completely so that it can be sent more than once.
 *
 * @param metadata what the caller's headers state about it
 * @param method the HTTP method
 * @param pathAndQuery the path and query, unchanged
 * @param headers the end-to-end headers
 * @param body the body
 * @param workspace the caller's workspace; empty if the route requires no API key
 */
public record RelayedRequest(RequestMetadata metadata, String method, String pathAndQuery, HeaderFields headers,
		Body body, Optional<String> workspace) {

}
