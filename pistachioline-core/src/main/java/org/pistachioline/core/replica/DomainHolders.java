package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.pistachioline.core.route.EngineModel;

/**
 * Finds the instances of a fabric domain that hold, or are loading, a model's weights.
 */
final class DomainHolders {

	private final WeightInventory weights;

	private final StagedLoads loads;

	DomainHolders(WeightInventory weights, StagedLoads loads) {
		this.weights = weights;
		this.loads = loads;
	}

	static Map<String, List<ServingInstance>> byDomain(Collection<ServingInstance> instances) {
		final Map<String, List<ServingInstance>> byDomain = new TreeMap<>();
		instances.forEach((instance) -> byDomain.computeIfAbsent(instance.fabricDomain(), (name) -> new ArrayList<>())
			.add(instance));
		return byDomain;
	}

	boolean holds(ServingInstance instance, EngineModel model) {
		return this.weights.holds(instance, model.name());
	}

	List<ServingInstance> holding(Collection<ServingInstance> instances, EngineModel model) {
		return instances.stream().filter((instance) -> holds(instance, model)).toList();
	}

	boolean isLastGroupModel(ServingInstance instance, EngineModel model) {
		return this.weights.isLastGroupModel(instance, model.name());
	}

	boolean holdsOrLoads(ServingInstance instance, EngineModel model) {
		return holds(instance, model) || this.loads.loadingModel(instance).filter(model.name()::equals).isPresent();
	}

	int countHolders(Collection<ServingInstance> instances, EngineModel model) {
		return (int) instances.stream().filter((instance) -> holdsOrLoads(instance, model)).count();
	}

	int countModels(ServingInstance instance) {
		return this.weights.countModels(instance);
	}

	// A host keeps few models beside the one of its last group, so a third one would
	// replace another.
	boolean mayLoad(ServingInstance instance, EngineModel model) {
		return !holdsOrLoads(instance, model) && countModels(instance) < 2 && this.loads.mayLoad(instance);
	}

	long countWarm(Collection<ServingInstance> instances) {
		return instances.stream().filter((instance) -> !instance.draining() && this.weights.holdsAny(instance)).count();
	}

}
