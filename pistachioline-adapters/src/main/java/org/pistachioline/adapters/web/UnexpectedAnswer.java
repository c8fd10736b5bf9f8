package org.pistachioline.adapters.web;

/**
 * Bytes that a server sent without a request that waits for them.
 *
 * @param address the server's address, as host and port
 * @param requestId the id of the request that they name; empty if they name none
 * @param status the status; 0 if the bytes are no head of an answer
 * @param connection how their connection was used until then
 */
public record UnexpectedAnswer(String address, String requestId, int status, ConnectionUse connection) {

}
