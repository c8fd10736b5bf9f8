package org.pistachioline.core.replica;

import java.util.List;
import java.util.Map;

/**
 * Summarizes the state of a service's instances as the planner sees it. It shows an
 * operator why fewer groups serve than the number of instances allows.
 *
 * @param listed the number of listed instances
 * @param draining the number of instances that are about to leave
 * @param serving the number of open and complete groups, by model
 * @param forming the number of members in groups that were not yet ordered to open
 * @param waiting the number of members in the other groups that do not serve, which lost
 * a member or are being closed
 * @param freeWarm the number of instances in no group that hold a model's weights
 * @param freeEmpty the number of instances in no group that hold no weights
 * @param loading the number of weight loads in progress, by staging or by joining a group
 * @param idle the number of instances that neither serve nor form a group, by the reason
 * that keeps them idle; without reasons that none has
 * @param models the state of each model, by its name
 * @param decisions the last decisions of each kind
 */
public record PoolSummary(int listed, int draining, Map<String, Integer> serving, int forming, int waiting,
		int freeWarm, int freeEmpty, int loading, Map<IdleReason, Integer> idle, Map<String, ModelSummary> models,
		List<PlanDecision> decisions) {

	public PoolSummary {
		serving = Map.copyOf(serving);
		idle = Map.copyOf(idle);
		models = Map.copyOf(models);
		decisions = List.copyOf(decisions);
	}

}
