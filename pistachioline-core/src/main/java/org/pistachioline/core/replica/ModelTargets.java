package org.pistachioline.core.replica;

import org.pistachioline.core.route.EngineModel;

/**
 * Values instances in groups by whether their model's callers need them.
 * <p>
 * A model is entitled to its share of the usable instances. What an instance is worth
 * falls with the cube of the part of these that the model has already: it is close to 1
 * when the model has what it is entitled to, an eighth of that at twice as many, and many
 * times more when it has next to none. So a model whose groups are large, break often and
 * need many loads still gets its first ones back.
 */
final class ModelTargets {

	/**
	 * Part of its entitlement that each model is assumed to have, so that the first
	 * instances of a model have a finite value.
	 */
	private static final double MIN_FILL_RATIO = 0.1;

	private final ModelInstanceCounts counts;

	ModelTargets(ModelInstanceCounts counts) {
		this.counts = counts;
	}

	/**
	 * Returns what an addition to a model's groups is worth.
	 * @param model the model
	 * @param plannedInstances instances that are going to join the model's groups anyway
	 * @param additionalInstances the addition; negative for a removal
	 * @return the value in instances
	 */
	double gain(EngineModel model, int plannedInstances, int additionalInstances) {
		final int before = this.counts.count(model) + plannedInstances;
		return value(model, before + additionalInstances) - value(model, before);
	}

	private double value(EngineModel model, int instances) {
		final double entitledInstances = Math.max(model.members(), this.counts.entitledInstances(model));
		final double fillRatio = Math.max(0, instances) / entitledInstances + MIN_FILL_RATIO;
		return -entitledInstances / (2 * fillRatio * fillRatio);
	}

}
