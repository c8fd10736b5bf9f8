package org.pistachioline.daemon.port;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import org.pistachioline.adapters.web.AnswerHead;
import org.pistachioline.adapters.web.HeaderFields;
import org.pistachioline.adapters.web.WebRequest;
import org.pistachioline.core.replica.LoadReport;
import org.pistachioline.core.traffic.TargetView;

/**
 * Reads and writes the platform-specific headers of requests and responses.
 */
public interface RelayProtocol {

	/**
	 * Reads the headers of a caller's request.
	 * @param headers its header fields
	 * @return the metadata of the request
	 * @throws org.pistachioline.core.error.PistachiolineException with
	 * {@code MALFORMED_REQUEST} if its headers cannot be parsed
	 */
	RequestMetadata readRequest(HeaderFields headers);

	/**
	 * Creates the request that is sent to a target.
	 * @param request the caller's request
	 * @param target the target
	 * @param remainingMillis how long the caller will still wait
	 * @param lastEventId the last event that the caller received; empty if it has
	 * received none
	 * @return the request
	 */
	WebRequest toTargetRequest(RelayedRequest request, TargetView target, long remainingMillis,
			Optional<String> lastEventId);

	/**
	 * Classifies a target's response by its head.
	 * @param request the caller's request
	 * @param head the head of the response
	 * @return the verdict
	 */
	ResponseVerdict classify(RelayedRequest request, AnswerHead head);

	/**
	 * Reads the rate limit that a target states in a response.
	 * @param head the head of the response
	 * @return the requests per second that it accepts from all daemons together; empty if
	 * it states no limit
	 */
	OptionalDouble requestLimit(AnswerHead head);

	/**
	 * Reads the backoff that a target asks of this daemon in a response.
	 * @param head the head of the response
	 * @return the length of the backoff, in milliseconds; empty if it asks for none
	 */
	OptionalLong backoffMillis(AnswerHead head);

	/**
	 * Returns whether a target states in a response that it is shutting down.
	 * @param head the head of the response
	 * @return whether it is shutting down; false if the response may be another
	 * instance's
	 */
	boolean isLeaving(AnswerHead head);

	/**
	 * Reads how long a target states in a response that it stays cold.
	 * @param head the head of the response
	 * @return the time, in milliseconds; empty if it states none, or if the response may
	 * be another instance's
	 */
	default OptionalLong coldRemainingMillis(AnswerHead head) {
		return OptionalLong.empty();
	}

	/**
	 * Reads the load that a target reports in a response.
	 * @param head the head of the response
	 * @param nowNanos the monotonic time
	 * @return the load; empty if it reports none
	 */
	Optional<LoadReport> load(AnswerHead head, long nowNanos);

}
