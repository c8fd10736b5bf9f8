package org.pistachioline.core.admission;

import org.pistachioline.core.traffic.RequestInfo;

/**
 * Tells how many requests the serving targets of a model or service can run, for all
 * daemons together.
 */
public interface SlotCounts {

	/**
	 * Counts the slots of the serving targets.
	 * @param info a request for the model or service
	 * @return the number of slots; 0 if no target serves
	 */
	int servingSlots(RequestInfo info);

	/**
	 * Counts the slots of the serving targets that are unused by their last reports.
	 * @param info a request for the model or service
	 * @return the number of slots; 0 if no target has reported recently
	 */
	int unusedSlots(RequestInfo info);

}
