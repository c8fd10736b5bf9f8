package org.pistachioline.core.planner;

/**
 * Decides on groups in the fabric domains that the writer plans.
 */
public interface Planner {

	/**
	 * Decides.
	 * @param input all that is known
	 * @param memory what was noted at earlier decisions, brought up to date by this one
	 * @return what to propose
	 */
	Plan plan(PlannerInput input, PlannerMemory memory);

}
