package org.pistachioline.adapters.web;

/**
 * An answer, or other bytes, that a server sent and that no request was waiting for.
 *
 * @param address the server's address, as host and port
 * @param waitingId the id of the request that waited on the connection; empty if none did
 * @param answeredId the id that the answer names; empty if it names none
 * @param status the status; 0 if the bytes are no head of an answer
 * @param connection how their connection was used until then
 */
public record UnexpectedAnswer(String address, String waitingId, String answeredId, int status,
		ConnectionUse connection) {

}
