package org.pistachioline.daemon.traffic;

import org.pistachioline.core.traffic.TrafficAction;

/**
 * Receives the requests that were running when a target crashed.
 */
@FunctionalInterface
public interface SuspectReporter {

	/**
	 * Reports a suspected or quarantined request.
	 * @param suspect the request and the target that crashed
	 * @param nowMillis the wall-clock time
	 */
	void report(TrafficAction.ReportSuspect suspect, long nowMillis);

}
