package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.pistachioline.core.route.EngineModel;

/**
 * Selects which free instances form the next group without any load.
 * <p>
 * A group that can serve is formed at once: the model whose callers gain the most for
 * each member comes first, and members that hold no other weights come before those that
 * could serve several models. Of these, the ones whose last group served the model come
 * first, as joining does not cost them the weights of another one.
 */
final class FleetAllocator {

	private final DomainHolders holders;

	FleetAllocator(DomainHolders holders) {
		this.holders = holders;
	}

	/**
	 * Selects the next group.
	 * @param pass the pass
	 * @param counts how many instances serve or will serve each model
	 * @param targets what additions to the models are worth
	 * @param reserved free instances that wait for partners
	 * @return the model and its members; empty if the free instances complete no group
	 */
	Optional<GroupAllocator.Proposal> nextGroup(PlanningPass pass, ModelInstanceCounts counts, ModelTargets targets,
			Set<ServingInstance> reserved) {
		final Map<String, List<ServingInstance>> byDomain = DomainHolders
			.byDomain(pass.free().stream().filter((instance) -> !reserved.contains(instance)).toList());
		final List<GroupAllocator.Proposal> proposals = new ArrayList<>();
		for (final EngineModel model : pass.view().engine().models()) {
			byDomain.values().forEach((free) -> propose(model, free).ifPresent(proposals::add));
		}
		return proposals.stream()
			.min(Comparator
				.comparingDouble((GroupAllocator.Proposal proposal) -> -gainPerMember(targets, proposal.model()))
				.thenComparingDouble((proposal) -> counts.nextFillRatio(proposal.model()))
				.thenComparingInt((proposal) -> -counts.inDomain(proposal.model().name(), proposal.fabricDomain()))
				.thenComparingInt(
						(proposal) -> counts.inAvailabilityZone(proposal.model().name(), proposal.availabilityZone())));
	}

	private static double gainPerMember(ModelTargets targets, EngineModel model) {
		return targets.gain(model, 0, model.members()) / model.members();
	}

	private Optional<GroupAllocator.Proposal> propose(EngineModel model, List<ServingInstance> free) {
		final List<ServingInstance> members = free.stream()
			.filter((instance) -> this.holders.holds(instance, model))
			.sorted(Comparator.comparingInt(this.holders::countModels)
				.thenComparing((instance) -> !this.holders.isLastGroupModel(instance, model))
				.thenComparing(ServingInstance::id))
			.limit(Math.max(0, model.members()))
			.toList();
		return (model.members() > 0 && members.size() == model.members())
				? Optional.of(new GroupAllocator.Proposal(model, members, 0)) : Optional.empty();
	}

}
