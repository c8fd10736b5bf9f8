package org.pistachioline.daemon.traffic;

import org.pistachioline.core.traffic.TrafficAction;

/**
 * Takes word of requests under which targets died.
 */
@FunctionalInterface
public interface SuspectReporter {

	/**
	 * Reports a death.
	 * @param suspect the request and the target that died
	 * @param nowMillis the wall clock's time
	 */
	void report(TrafficAction.ReportSuspect suspect, long nowMillis);

}
