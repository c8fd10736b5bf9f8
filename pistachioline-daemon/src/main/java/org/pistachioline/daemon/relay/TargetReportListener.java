package org.pistachioline.daemon.relay;

import java.util.OptionalDouble;

import org.pistachioline.core.replica.LoadReport;

/**
 * Receives the load and limits that targets report in their responses; called on the
 * event loop.
 */
interface TargetReportListener {

	/**
	 * Called for each response that reports the target's load.
	 * @param targetId the target
	 * @param load the reported load
	 */
	void onLoad(String targetId, LoadReport load);

	/**
	 * Called for each valid response, and for any other response of the target that
	 * states a limit.
	 * @param targetId the target
	 * @param sentAtNanos when the request was sent, by the monotonic clock
	 * @param requestsPerSecond the stated limit; empty where the response states none
	 */
	void onLimit(String targetId, long sentAtNanos, OptionalDouble requestsPerSecond);

}
