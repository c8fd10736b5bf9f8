package org.pistachioline.daemon.traffic;

import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;

/**
 * Receives the progress and the end of an attempt, on any thread.
 */
public interface AttemptListener {

	/**
	 * Called at the first token and then periodically, while the attempt delivers tokens
	 * or the caller reads slowly.
	 * @param attempt the attempt
	 * @param tokensDelivered the total number of tokens delivered for the request,
	 * earlier attempts included
	 */
	void onProgress(AttemptId attempt, int tokensDelivered);

	/**
	 * Called exactly once, when the attempt has ended.
	 * @param attempt the attempt
	 * @param outcome how the attempt ended
	 * @param tokensDelivered the total number of tokens delivered for the request,
	 * earlier attempts included
	 */
	void onEnd(AttemptId attempt, AttemptOutcome outcome, int tokensDelivered);

}
