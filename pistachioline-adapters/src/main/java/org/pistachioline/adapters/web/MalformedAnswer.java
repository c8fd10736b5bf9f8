package org.pistachioline.adapters.web;

/**
 * An answer that a server sent and that breaks the grammar of HTTP. What it holds is not
 * kept: it may be anything.
 *
 * @param address the server's address, as host and port
 * @param requestId the id of the request; empty if it has none
 * @param part the first part that breaks the grammar
 * @param connection how their connection was used before the request
 */
public record MalformedAnswer(String address, String requestId, AnswerPart part, ConnectionUse connection) {

}
