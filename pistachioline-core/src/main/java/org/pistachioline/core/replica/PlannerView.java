package org.pistachioline.core.replica;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.pistachioline.core.route.EngineSpec;

/**
 * The input to one planning pass for a service.
 *
 * @param nowNanos the monotonic time
 * @param listAsOfNanos the monotonic time as of which the instance list is known
 * @param engine the engine specification of the service
 * @param instances the service's instances, including draining ones
 * @param delisted instances that were recently delisted, as they were last listed
 * @param unresponsiveIds instances that did not answer although other members of their
 * group did
 * @param beforeTraffic whether no request has arrived yet, so that weight loads are not
 * limited
 * @param demandShareRatios the share of the instances that each model needs for the
 * current demand, by the model's name; empty if it is not known, so that the declared
 * shares apply
 */
public record PlannerView(long nowNanos, long listAsOfNanos, EngineSpec engine, Collection<ServingInstance> instances,
		Collection<ServingInstance> delisted, Set<String> unresponsiveIds, boolean beforeTraffic,
		Map<String, Double> demandShareRatios) {

	public PlannerView {
		instances = List.copyOf(instances);
		delisted = List.copyOf(delisted);
		unresponsiveIds = Set.copyOf(unresponsiveIds);
		demandShareRatios = Map.copyOf(demandShareRatios);
	}

	/**
	 * Creates the input for a service whose demand is not known, with a current list.
	 * @param nowNanos the monotonic time
	 * @param engine the engine specification of the service
	 * @param instances the service's instances, including draining ones
	 * @param delisted instances that were recently delisted, as they were last listed
	 * @param unresponsiveIds instances that did not answer although other members of
	 * their group did
	 * @param beforeTraffic whether no request has arrived yet
	 */
	public PlannerView(long nowNanos, EngineSpec engine, Collection<ServingInstance> instances,
			Collection<ServingInstance> delisted, Set<String> unresponsiveIds, boolean beforeTraffic) {
		this(nowNanos, nowNanos, engine, instances, delisted, unresponsiveIds, beforeTraffic, Map.of());
	}

}
