package org.pistachioline.core.planner;

import java.util.List;

import org.pistachioline.core.record.RecordBody;

/**
 * Decides on groups in the fabric domains that the writer plans.
 */
public interface Planner {

	/**
	 * Decides.
	 * @param input all that is known
	 * @return the records to propose
	 */
	List<RecordBody> plan(PlannerInput input);

}
