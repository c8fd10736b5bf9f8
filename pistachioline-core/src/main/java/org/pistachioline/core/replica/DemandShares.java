package org.pistachioline.core.replica;

import java.util.HashMap;
import java.util.Map;

import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.EngineSpec;

/**
 * Derives the models' shares of the instances from the demand.
 * <p>
 * A model that the demand does not name has none, and a value that is negative or not
 * finite counts as none. Without any demand the declared shares apply. Shares in force
 * are kept while the demand differs only slightly, so that groups are not moved back and
 * forth between the models.
 */
final class DemandShares {

	/** Difference of a share up to which the shares in force are kept. */
	private static final double TOLERANCE_RATIO = 0.1;

	private Map<String, Double> inForce = Map.of();

	/**
	 * Updates the shares.
	 * @param engine the engine specification, with the declared shares
	 * @param demandShareRatios the demand by the model's name; empty if it is not known
	 */
	void update(EngineSpec engine, Map<String, Double> demandShareRatios) {
		Map<String, Double> requested = normalize(engine, demandShareRatios);
		if (requested.isEmpty()) {
			final Map<String, Double> declared = new HashMap<>();
			engine.models().forEach((model) -> declared.put(model.name(), model.initialShareRatio()));
			requested = normalize(engine, declared);
		}
		if (!requested.keySet().equals(this.inForce.keySet()) || differ(requested)) {
			this.inForce = Map.copyOf(requested);
		}
	}

	private boolean differ(Map<String, Double> requested) {
		return requested.entrySet()
			.stream()
			.anyMatch((entry) -> Math.abs(entry.getValue() - this.inForce.get(entry.getKey())) > TOLERANCE_RATIO);
	}

	// Returns an empty map if no model has a share.
	private static Map<String, Double> normalize(EngineSpec engine, Map<String, Double> shareRatios) {
		final Map<String, Double> valid = new HashMap<>();
		for (final EngineModel model : engine.models()) {
			final double ratio = shareRatios.getOrDefault(model.name(), 0.0);
			valid.put(model.name(), Double.isFinite(ratio) ? Math.max(ratio, 0) : 0);
		}
		final double sum = valid.values().stream().mapToDouble(Double::doubleValue).sum();
		if (sum <= 0 || !Double.isFinite(sum)) {
			return Map.of();
		}
		valid.replaceAll((name, ratio) -> ratio / sum);
		return valid;
	}

	Map<String, Double> inForce() {
		return this.inForce;
	}

}
