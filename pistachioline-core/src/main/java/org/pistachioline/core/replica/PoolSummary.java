package org.pistachioline.core.replica;

import java.util.Map;

/**
 * Where the instances of one service are, as the planner sees them. It tells an operator
 * why fewer groups serve than there are instances for.
 *
 * @param listed the instances in the list
 * @param draining those that are about to leave
 * @param serving the open and whole groups, by model
 * @param forming the members of groups that are prepared or on their way to it
 * @param waiting the members of groups that lost a member or are being closed
 * @param freeWarm those in no group that hold the weights of some model
 * @param freeEmpty those in no group that hold none
 * @param loading those that load weights, in a group or not
 */
public record PoolSummary(int listed, int draining, Map<String, Integer> serving, int forming, int waiting,
		int freeWarm, int freeEmpty, int loading) {

	public PoolSummary {
		serving = Map.copyOf(serving);
	}

}
