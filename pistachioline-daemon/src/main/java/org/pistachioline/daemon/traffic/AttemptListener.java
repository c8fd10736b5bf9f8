package org.pistachioline.daemon.traffic;

import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;

/**
 * Hears how an attempt goes, on any thread.
 */
public interface AttemptListener {

	/**
	 * Called at the first token, and once a second while the attempt is alive.
	 * @param attempt the attempt
	 * @param tokensDelivered the tokens that the caller has in all
	 */
	void onProgress(AttemptId attempt, int tokensDelivered);

	/**
	 * Called once, at the end.
	 * @param attempt the attempt
	 * @param how how it ended
	 * @param tokensDelivered the tokens that the caller has in all
	 */
	void onEnd(AttemptId attempt, AttemptOutcome how, int tokensDelivered);

}
