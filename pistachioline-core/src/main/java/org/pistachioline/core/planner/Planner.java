package org.pistachioline.core.planner;

/**
 * Decides on the groups of the fabric domains that a daemon plans.
 */
public interface Planner {

	/**
	 * Computes a plan.
	 * @param input the current knowledge about the fleet
	 * @param memory the state kept between plans, updated by this call
	 * @return the records to propose, with reasons
	 */
	Plan plan(PlannerInput input, PlannerMemory memory);

}
