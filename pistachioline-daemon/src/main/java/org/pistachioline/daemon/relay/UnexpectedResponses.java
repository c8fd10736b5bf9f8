package org.pistachioline.daemon.relay;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import org.pistachioline.adapters.web.ClientListener;
import org.pistachioline.adapters.web.ConnectionUse;
import org.pistachioline.adapters.web.UnexpectedAnswer;
import org.pistachioline.core.event.EventId;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.daemon.event.UnexpectedAnswerLog;

/**
 * Logs and counts the responses of targets that do not belong to the request on their
 * connection.
 */
final class UnexpectedResponses implements ClientListener {

	private final Map<UnexpectedReason, AtomicLong> countsByReason = new EnumMap<>(UnexpectedReason.class);

	UnexpectedResponses() {
		for (final UnexpectedReason reason : UnexpectedReason.values()) {
			this.countsByReason.put(reason, new AtomicLong());
		}
	}

	@Override
	public void onUnexpected(UnexpectedAnswer answer) {
		log(UnexpectedReason.IDLE, answer);
	}

	@Override
	public void onJoined(UnexpectedAnswer answer) {
		log(UnexpectedReason.JOINED, answer);
	}

	/**
	 * Called when the response to a request names another one, or none.
	 * @param answer the response
	 */
	void onMismatch(UnexpectedAnswer answer) {
		log(UnexpectedReason.MISMATCHED, answer);
	}

	private void log(UnexpectedReason reason, UnexpectedAnswer answer) {
		this.countsByReason.get(reason).incrementAndGet();
		UnexpectedAnswerLog.log(reason.code(), answer);
	}

	@Override
	public void onRepeatedId(String address, String requestId, ConnectionUse connection) {
		Events.log(EventId.REQUEST_ID_REPEATED, "request", requestId, "address", address, "connection",
				connection.number(), "earlier_requests", connection.earlierRequests(), "idle_millis",
				connection.idleMillis());
	}

	/**
	 * Returns the number of such responses; any thread may ask.
	 * @param reason the reason
	 * @return the number since the start
	 */
	long count(UnexpectedReason reason) {
		return this.countsByReason.get(reason).get();
	}

}
