package org.pistachioline.daemon.relay;

import java.util.OptionalDouble;

import org.pistachioline.core.replica.LoadReport;

/**
 * Hears what targets say of themselves in their answers, on the loop's thread.
 */
interface TargetReportListener {

	/**
	 * Called where an answer tells the target's load.
	 * @param targetId the target
	 * @param load the load
	 */
	void onLoad(String targetId, LoadReport load);

	/**
	 * Called for each answer to a request that ran well, and for each that names a limit.
	 * @param targetId the target
	 * @param sentAtNanos when the request was sent, by the monotonic clock
	 * @param requestsPerSecond the limit that it names; empty where it names none
	 */
	void onLimit(String targetId, long sentAtNanos, OptionalDouble requestsPerSecond);

}
