package org.pistachioline.core.demand;

import java.util.Map;

/**
 * Tells the planner which models the callers of a service ask for.
 */
@FunctionalInterface
public interface ModelDemandSource {

	/**
	 * Returns the share of the requested tokens that asks for each model of a service.
	 * @param service the service's name
	 * @return the share ratios, by the model's name, which add up to 1; empty if too
	 * little is known
	 */
	Map<String, Double> shareRatios(String service);

}
