package org.pistachioline.core.replica;

import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.pistachioline.core.route.EngineModel;

/**
 * Counts the instances in no group by the reason that keeps them idle.
 */
final class IdleInstances {

	private final WeightInventory weights;

	private final StagedLoads loads;

	IdleInstances(WeightInventory weights, StagedLoads loads) {
		this.weights = weights;
		this.loads = loads;
	}

	/**
	 * Counts the idle instances.
	 * @param ungrouped the instances in no group that the planner tracks
	 * @param freeIds the instances that the last pass could have assigned and did not
	 * @param models the models of the service
	 * @return the number of instances by reason, without reasons that none has
	 */
	Map<IdleReason, Integer> count(Collection<ServingInstance> ungrouped, Set<String> freeIds,
			List<EngineModel> models) {
		final Map<String, List<ServingInstance>> freeByDomain = DomainHolders
			.byDomain(ungrouped.stream().filter((instance) -> freeIds.contains(instance.id())).toList());
		final Map<IdleReason, Integer> counts = new EnumMap<>(IdleReason.class);
		ungrouped.forEach((instance) -> counts.merge(
				reason(instance, freeIds, freeByDomain.getOrDefault(instance.fabricDomain(), List.of()), models), 1,
				Integer::sum));
		return counts;
	}

	private IdleReason reason(ServingInstance instance, Set<String> freeIds, List<ServingInstance> partners,
			List<EngineModel> models) {
		if (instance.draining()) {
			return IdleReason.DRAINING;
		}
		if (!freeIds.contains(instance.id())) {
			return IdleReason.LATE_ORDER;
		}
		if (this.loads.loadingModel(instance).isPresent()) {
			return IdleReason.LOADING;
		}
		if (!this.weights.holdsAny(instance)) {
			return IdleReason.NO_WEIGHTS;
		}
		final boolean complete = models.stream()
			.filter((model) -> model.members() > 0 && this.weights.holds(instance, model.name()))
			.anyMatch((model) -> partners.stream()
				.filter((partner) -> this.weights.holds(partner, model.name()))
				.count() >= model.members());
		return complete ? IdleReason.HELD : IdleReason.NO_PARTNERS;
	}

}
