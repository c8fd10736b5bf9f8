package org.pistachioline.core.replica;

import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.EngineSpec;

/**
 * Values instances in groups by whether their model's callers need them.
 * <p>
 * A model is entitled to its share of the instances in groups, and to one group at least.
 * An instance up to that number counts whole; beyond it callers of the model gain less
 * from it than those of another model would.
 */
final class ModelTargets {

	private static final double EXCESS_VALUE_RATIO = 0.5;

	private final ModelInstanceCounts counts;

	private final long groupedInstances;

	ModelTargets(ModelInstanceCounts counts, EngineSpec engine) {
		this.counts = counts;
		this.groupedInstances = engine.models().stream().mapToInt(counts::count).sum();
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
		final double entitledInstances = Math.max(model.members(),
				this.groupedInstances * this.counts.normalizedShareRatio(model));
		return Math.min(instances, entitledInstances) + EXCESS_VALUE_RATIO * Math.max(0, instances - entitledInstances);
	}

}
