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
 * Reads and writes the headers of callers and targets.
 */
public interface RelayProtocol {

	/**
	 * Reads a caller's request.
	 * @param headers its header fields
	 * @return what it says
	 * @throws org.pistachioline.core.error.PistachiolineException with
	 * {@code MALFORMED_REQUEST} where its headers cannot be understood
	 */
	RequestMetadata readRequest(HeaderFields headers);

	/**
	 * Writes the request that goes to a target.
	 * @param call the caller's request
	 * @param target the target
	 * @param leftMillis how long the caller still waits
	 * @param lastEventId the last event that the caller has; empty where it has none
	 * @return the request
	 */
	WebRequest toTargetRequest(RelayedRequest call, TargetView target, long leftMillis, Optional<String> lastEventId);

	/**
	 * Judges the head of a target's answer.
	 * @param call the caller's request
	 * @param answer the answer's head
	 * @return the verdict
	 */
	ResponseVerdict classify(RelayedRequest call, AnswerHead answer);

	/**
	 * Reads the limit that a target names on an answer.
	 * @param answer the answer's head
	 * @return how many requests a second it takes from all daemons together; empty where
	 * it names no limit
	 */
	OptionalDouble requestLimit(AnswerHead answer);

	/**
	 * Reads for how long a target wants no requests of this daemon.
	 * @param answer the answer's head
	 * @return the time in milliseconds; empty where it does not ask for any
	 */
	OptionalLong backoffMillis(AnswerHead answer);

	/**
	 * Reads whether a target says that it leaves.
	 * @param answer the answer's head
	 * @return whether it does; never on an answer that may be another instance's
	 */
	boolean isLeaving(AnswerHead answer);

	/**
	 * Reads what a target says of its load on an answer.
	 * @param answer the answer's head
	 * @param nowNanos the monotonic time
	 * @return the load; empty where it says nothing
	 */
	Optional<LoadReport> load(AnswerHead answer, long nowNanos);

}
