package org.pistachioline.core.replica;

import java.util.List;
import java.util.Map;

/**
 * The state of one planning pass after the known groups were reconciled.
 *
 * @param view what the planner sees
 * @param byId all listed instances, by id
 * @param free the instances that may be assigned, from which the planner removes those
 * that it assigns
 * @param recovering the listed instances that become free soon, as their group lost a
 * member or is being closed
 * @param serving the groups that are open and complete
 */
record PlanningPass(PlannerView view, Map<String, ServingInstance> byId, List<ServingInstance> free,
		List<ServingInstance> recovering, List<TrackedGroup> serving) {

}
