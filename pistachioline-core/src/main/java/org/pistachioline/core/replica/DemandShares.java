package org.pistachioline.core.replica;

import java.util.HashMap;
import java.util.Map;

import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.EngineSpec;

/**
 * Derives the models' shares of the instances from the demand.
 * <p>
 * A model that the demand does not name has none, and a value that is negative or not
 * finite counts as none. Without any demand the declared shares apply. The shares follow
 * the demand over several seconds, as the requests of one second are too few to give up
 * serving groups for, and those in force are kept while they differ only slightly, so
 * that groups are not moved back and forth between the models.
 */
final class DemandShares {

	/** Difference of a share up to which the shares in force are kept. */
	private static final double TOLERANCE_RATIO = 0.05;

	/** Time constant with which the shares follow the demand. */
	private static final double FOLLOWING_SECONDS = 4;

	private static final double NANOS_PER_SECOND = 1e9;

	private Map<String, Double> followed = Map.of();

	private long followedAtNanos;

	private Map<String, Double> inForce = Map.of();

	/**
	 * Updates the shares.
	 * @param nowNanos the monotonic time
	 * @param engine the engine specification, with the declared shares
	 * @param demandShareRatios the demand by the model's name; empty if it is not known
	 */
	void update(long nowNanos, EngineSpec engine, Map<String, Double> demandShareRatios) {
		final Map<String, Double> declared = new HashMap<>();
		engine.models().forEach((model) -> declared.put(model.name(), model.initialShareRatio()));
		final Map<String, Double> initial = normalize(engine, declared);
		final Map<String, Double> demanded = normalize(engine, demandShareRatios);
		final Map<String, Double> target = demanded.isEmpty() ? initial : demanded;
		if (!this.followed.keySet().equals(target.keySet())) {
			this.followed = initial.isEmpty() ? target : initial;
			this.followedAtNanos = nowNanos;
		}
		follow(nowNanos, target);
		if (!this.followed.keySet().equals(this.inForce.keySet()) || differ(this.followed)) {
			this.inForce = Map.copyOf(this.followed);
		}
	}

	private void follow(long nowNanos, Map<String, Double> target) {
		final double kept = Math.exp(-(nowNanos - this.followedAtNanos) / (FOLLOWING_SECONDS * NANOS_PER_SECOND));
		final Map<String, Double> next = new HashMap<>();
		target.forEach((model, ratio) -> next.put(model, ratio + kept * (this.followed.get(model) - ratio)));
		this.followed = next;
		this.followedAtNanos = nowNanos;
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
