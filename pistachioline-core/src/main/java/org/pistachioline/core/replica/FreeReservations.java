package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.pistachioline.core.route.EngineModel;

/**
 * Selects free instances that wait for the other members of a larger group.
 * <p>
 * When a group breaks, its survivors hold the weights of its model, but are too few for a
 * group of it. If they joined smaller groups of another model at once, each would give
 * these weights up, and the larger model would need a load for every member of its next
 * group. They wait if the missing members are in groups of their domain that are ending
 * or being exchanged, and if the larger group is worth more than what they could form
 * now.
 */
final class FreeReservations {

	private final DomainHolders holders;

	FreeReservations(DomainHolders holders) {
		this.holders = holders;
	}

	/**
	 * Selects the instances that wait.
	 * @param pass the pass
	 * @param targets what additions to the models are worth
	 * @return the free instances that join no group of another model now
	 */
	List<ServingInstance> select(PlanningPass pass, ModelTargets targets) {
		final Map<String, List<ServingInstance>> recovering = DomainHolders.byDomain(pass.recovering());
		final List<ServingInstance> reserved = new ArrayList<>();
		DomainHolders.byDomain(pass.free())
			.forEach((domain, free) -> reserved
				.addAll(select(pass, targets, free, recovering.getOrDefault(domain, List.of()))));
		return reserved;
	}

	private List<ServingInstance> select(PlanningPass pass, ModelTargets targets, List<ServingInstance> free,
			List<ServingInstance> recovering) {
		final List<EngineModel> models = pass.view().engine().models();
		return models.stream()
			.filter((model) -> lacksOnlyRecovering(model, free, recovering))
			.filter((model) -> targets.gain(model, 0, model.members()) >= GroupExchange.MIN_GAIN_RATIO
					* foregoneGain(models, targets, free, model))
			.findFirst()
			.map((model) -> this.holders.holding(free, model))
			.orElse(List.of());
	}

	private boolean lacksOnlyRecovering(EngineModel model, List<ServingInstance> free,
			List<ServingInstance> recovering) {
		final int ready = this.holders.holding(free, model).size();
		return model.members() > 0 && ready < model.members()
				&& ready + this.holders.holding(recovering, model).size() >= model.members();
	}

	/**
	 * Returns what other models lose if the holders of a model's weights do not join
	 * their groups now.
	 * @param models all models
	 * @param targets what additions to the models are worth
	 * @param free the free instances of a domain
	 * @param reservedFor the model that the instances wait for
	 * @return the largest value that another model gives up
	 */
	double foregoneGain(List<EngineModel> models, ModelTargets targets, List<ServingInstance> free,
			EngineModel reservedFor) {
		return models.stream().filter((model) -> model != reservedFor && model.members() > 0).mapToDouble((model) -> {
			final List<ServingInstance> holding = this.holders.holding(free, model);
			final int all = holding.size() / model.members();
			final int others = (holding.size() - this.holders.holding(holding, reservedFor).size()) / model.members();
			return targets.gain(model, others * model.members(), (all - others) * model.members());
		}).max().orElse(0);
	}

}
