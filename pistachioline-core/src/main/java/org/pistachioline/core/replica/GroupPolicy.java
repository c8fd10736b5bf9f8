package org.pistachioline.core.replica;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides how a service's instances are used: which free ones form the next group, which
 * serving groups are given up, and which hosts load weights. The planner applies the
 * decisions within its guarantees, so that no policy can break a group by mistake.
 */
interface GroupPolicy {

	/**
	 * Returns the models' shares of the instances.
	 * @param view what the planner sees
	 * @return the share ratios, by the model's name
	 */
	Map<String, Double> shareRatios(PlannerView view);

	/**
	 * Returns whether loads before the first request are limited in number, although the
	 * weight store does not count them.
	 * @return whether they are limited
	 */
	boolean limitsLoadsBeforeTraffic();

	/**
	 * Starts a pass.
	 * @param pass the pass
	 */
	void startPass(PlanningPass pass);

	/**
	 * Selects the free instances that wait for other members, before any group of the
	 * pass is formed.
	 * @param pass the pass
	 * @param counts how many instances serve or will serve each model
	 */
	default void reserve(PlanningPass pass, ModelInstanceCounts counts) {
		// By default, none waits.
	}

	/**
	 * Selects the next group.
	 * @param pass the pass
	 * @param counts how many instances serve or will serve each model
	 * @param loadsAllowed whether members may load the weights as they join
	 * @return the model and its members; empty if no group can be formed now
	 */
	Optional<GroupAllocator.Proposal> nextGroup(PlanningPass pass, ModelInstanceCounts counts, boolean loadsAllowed);

	/**
	 * Selects the serving groups to close, so that their members can serve another model.
	 * @param pass the pass
	 * @param counts how many instances serve each model
	 * @return the groups to close; empty if none should be
	 */
	List<TrackedGroup> groupsToClose(PlanningPass pass, ModelInstanceCounts counts);

	/**
	 * Selects the next host to load weights.
	 * @param pass the pass
	 * @param counts how many instances serve each model
	 * @return the order; empty if no host has to load
	 */
	Optional<ReplicaOrder.Stage> nextLoad(PlanningPass pass, ModelInstanceCounts counts);

	/**
	 * Returns the policy's last decisions, for operators.
	 * @return the latest of each kind; empty if the policy does not value its decisions
	 */
	default List<PlanDecision> lastDecisions() {
		return List.of();
	}

}
