package org.pistachioline.core.demand;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Determines by the estimated demand of the fleet which models the callers of a service
 * ask for.
 */
public final class ModelDemandShares implements ModelDemandSource {

	private static final char MODEL_SEPARATOR = '/';

	/** The requests of all daemons per second below which too little is known. */
	private static final double MIN_REQUESTS_PER_SECOND = 1;

	private final Supplier<DemandEstimate> fleetDemand;

	/**
	 * Creates a source.
	 * @param fleetDemand supplies the estimated demand of all daemons together
	 */
	public ModelDemandShares(Supplier<DemandEstimate> fleetDemand) {
		this.fleetDemand = fleetDemand;
	}

	@Override
	public Map<String, Double> shareRatios(String service) {
		final String prefix = service + MODEL_SEPARATOR;
		final Map<String, Double> costs = new HashMap<>();
		double requestsPerSecond = 0;
		double total = 0;
		for (final Map.Entry<DemandKey, DemandRates> entry : this.fleetDemand.get().rates().entrySet()) {
			if (entry.getKey().name().startsWith(prefix)) {
				final double cost = entry.getValue().costPerSecond();
				requestsPerSecond += entry.getValue().requestsPerSecond();
				total += cost;
				costs.merge(entry.getKey().name().substring(prefix.length()), cost, Double::sum);
			}
		}
		if (requestsPerSecond < MIN_REQUESTS_PER_SECOND || total <= 0) {
			return Map.of();
		}
		final double sum = total;
		costs.replaceAll((model, cost) -> cost / sum);
		return Map.copyOf(costs);
	}

}
