package org.pistachioline.daemon.traffic;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TrafficAction;

/**
 * One caller's request with the answer that it waits for; the traffic duty calls it.
 */
public interface Exchange {

	/**
	 * Returns what the decisions know of the request.
	 * @return the request
	 */
	RequestInfo info();

	/**
	 * Sends an attempt.
	 * @param start the attempt, its target and where to resume
	 * @param listener hears how it goes
	 */
	void start(TrafficAction.Start start, AttemptListener listener);

	/**
	 * Cancels an attempt, which closes its connection.
	 * @param attempt the attempt
	 */
	void cancel(AttemptId attempt);

	/**
	 * Ends the answer well.
	 */
	void finish();

	/**
	 * Ends the answer with a failure.
	 * @param kind the error kind
	 * @param runState whether the request may have run
	 * @param retryAfterMillis when the caller may come back; 0 where it is not said
	 */
	void fail(ErrorKind kind, RunState runState, long retryAfterMillis);

	/**
	 * Answers with a stored outcome.
	 * @param outcome the outcome
	 */
	void replay(KeyOutcome outcome);

}
