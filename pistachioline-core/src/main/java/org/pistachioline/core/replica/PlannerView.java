package org.pistachioline.core.replica;

import java.util.Collection;
import java.util.List;
import java.util.Set;

import org.pistachioline.core.route.EngineSpec;

/**
 * What the planner of one service sees at a moment.
 *
 * @param nowNanos the monotonic time
 * @param engine the service's engines
 * @param instances the service's instances, those that leave included
 * @param delisted instances that the list dropped lately, as they were listed last
 * @param unresponsiveIds instances that answered nothing though other members of their
 * group did
 * @param beforeTraffic whether no request has come yet, so that loads are not counted
 */
public record PlannerView(long nowNanos, EngineSpec engine, Collection<ServingInstance> instances,
		Collection<ServingInstance> delisted, Set<String> unresponsiveIds, boolean beforeTraffic) {

	public PlannerView {
		instances = List.copyOf(instances);
		delisted = List.copyOf(delisted);
		unresponsiveIds = Set.copyOf(unresponsiveIds);
	}

}
