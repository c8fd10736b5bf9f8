package org.pistachioline.daemon.traffic;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TrafficAction;

/**
 * A caller's request together with its pending response. The traffic duty calls it.
 */
public interface Exchange {

	/**
	 * Returns the properties of the request on which traffic decisions are based.
	 * @return the request
	 */
	RequestInfo info();

	/**
	 * Sends an attempt to its target.
	 * @param start the attempt, its target and where to resume
	 * @param listener receives the attempt's progress and its end
	 */
	void start(TrafficAction.Start start, AttemptListener listener);

	/**
	 * Cancels an attempt and discards the rest of its response. The connection of a
	 * streamed attempt is closed, so that the target stops working on it.
	 * @param attempt the attempt
	 */
	void cancel(AttemptId attempt);

	/**
	 * Completes the response with success.
	 */
	void finish();

	/**
	 * Completes the response with an error.
	 * @param kind the error kind
	 * @param runState whether the request may have run
	 * @param retryAfterMillis after which delay the caller may retry; 0 if none is stated
	 */
	void fail(ErrorKind kind, RunState runState, long retryAfterMillis);

	/**
	 * Completes the response with the failure that the traffic core decided.
	 * @param failure the failure and its reason
	 */
	default void fail(TrafficAction.Fail failure) {
		fail(failure.kind(), failure.runState(), failure.retryAfterMillis());
	}

	/**
	 * Responds with the stored outcome of an earlier request with the same idempotency
	 * key.
	 * @param outcome the outcome
	 */
	void replay(KeyOutcome outcome);

}
