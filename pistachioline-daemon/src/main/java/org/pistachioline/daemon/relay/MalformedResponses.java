package org.pistachioline.daemon.relay;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import org.pistachioline.adapters.web.AnswerPart;
import org.pistachioline.adapters.web.MalformedAnswer;
import org.pistachioline.core.event.EventId;
import org.pistachioline.daemon.event.Events;

/**
 * Logs and counts the responses of targets that break the grammar of HTTP.
 */
final class MalformedResponses {

	private final Map<AnswerPart, AtomicLong> countsByPart = new EnumMap<>(AnswerPart.class);

	MalformedResponses() {
		for (final AnswerPart part : AnswerPart.values()) {
			this.countsByPart.put(part, new AtomicLong());
		}
	}

	/**
	 * Logs and counts one response.
	 * @param targetId the target that sent it
	 * @param answer the response
	 */
	void log(String targetId, MalformedAnswer answer) {
		this.countsByPart.get(answer.part()).incrementAndGet();
		Events.log(EventId.RESPONSE_MALFORMED, "part", answer.part().code(), "request", answer.requestId(), "target",
				targetId, "address", answer.address(), "connection", answer.connection().number(), "earlier_requests",
				answer.connection().earlierRequests());
	}

	/**
	 * Returns the number of such responses; any thread may ask.
	 * @param part the first part that broke the grammar
	 * @return the number since the start
	 */
	long count(AnswerPart part) {
		return this.countsByPart.get(part).get();
	}

}
