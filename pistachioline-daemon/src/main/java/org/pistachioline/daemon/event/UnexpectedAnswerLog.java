package org.pistachioline.daemon.event;

import org.pistachioline.adapters.web.ClientListener;
import org.pistachioline.adapters.web.ConnectionUse;
import org.pistachioline.adapters.web.MalformedAnswer;
import org.pistachioline.adapters.web.UnexpectedAnswer;
import org.pistachioline.core.event.EventId;

/**
 * Logs the answers that belong to no request on their connection, and bytes that are no
 * answer. Thread-safe.
 */
public final class UnexpectedAnswerLog implements ClientListener {

	private static final String IDLE = "idle";

	private static final String JOINED = "joined";

	@Override
	public void onUnexpected(UnexpectedAnswer answer) {
		log(IDLE, answer);
	}

	@Override
	public void onJoined(UnexpectedAnswer answer) {
		log(JOINED, answer);
	}

	@Override
	public void onMalformed(MalformedAnswer answer) {
		Events.log(EventId.RESPONSE_MALFORMED, "part", answer.part().code(), "request", answer.requestId(), "address",
				answer.address(), "connection", answer.connection().number(), "earlier_requests",
				answer.connection().earlierRequests());
	}

	/**
	 * Logs one answer.
	 * @param reason how it was found to belong to no request
	 * @param answer the answer
	 */
	public static void log(String reason, UnexpectedAnswer answer) {
		final ConnectionUse use = answer.connection();
		Events.log(EventId.RESPONSE_UNEXPECTED, "reason", reason, "request", answer.waitingId(), "answered",
				answer.answeredId(), "status", answer.status(), "address", answer.address(), "connection", use.number(),
				"earlier_requests", use.earlierRequests(), "idle_millis", use.idleMillis());
	}

}
