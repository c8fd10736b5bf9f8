package org.pistachioline.daemon.port;

import java.util.Optional;

import org.pistachioline.adapters.web.Body;
import org.pistachioline.adapters.web.HeaderFields;

/**
 * A caller's request, read as a whole, so that it can be sent more than once.
 *
 * @param metadata what the caller said of it
 * @param method the method
 * @param pathAndQuery path and query as they were sent
 * @param headers the headers that concern more than one connection
 * @param body the body
 * @param workspace the caller's workspace; empty where the route needs no key
 */
public record RelayedRequest(RequestMetadata metadata, String method, String pathAndQuery, HeaderFields headers,
		Body body, Optional<String> workspace) {

}
