package org.pistachioline.core.replica;

import java.util.HashMap;
import java.util.Map;

import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.EngineSpec;

/**
 * Converts the demand for models into the part of the instances that each model needs.
 * <p>
 * All groups of a service have the same number of slots. A model therefore needs more
 * instances for the same tokens the more members its groups have and the longer it takes
 * for a token.
 */
public final class InstanceDemand {

	private InstanceDemand() {
	}

	/**
	 * Converts shares of the requested tokens into shares of the instances.
	 * @param engine the engine specification
	 * @param tokenShareRatios the share of the tokens that asks for each model, by the
	 * model's name; empty if it is not known
	 * @return the shares, by the model's name, which add up to 1; empty if no model of
	 * the engine is asked for
	 */
	public static Map<String, Double> shareRatios(EngineSpec engine, Map<String, Double> tokenShareRatios) {
		final Map<String, Double> instances = new HashMap<>();
		for (final EngineModel model : engine.models()) {
			final double tokens = tokenShareRatios.getOrDefault(model.name(), 0.0);
			instances.put(model.name(), tokens * Math.max(1, model.members()) * model.latencyRatio());
		}
		final double sum = instances.values().stream().mapToDouble(Double::doubleValue).sum();
		if (!(sum > 0) || !Double.isFinite(sum)) {
			return Map.of();
		}
		instances.replaceAll((name, share) -> share / sum);
		return instances;
	}

}
