package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.pistachioline.core.route.EngineModel;

/**
 * Selects which free instances form the next group, and for which model.
 * <p>
 * Designed for a pool that loses two instances every few seconds and gains as many new
 * ones, where the goal is to let the survivors serve again as soon as possible. Members
 * that already hold the weights are ready in one to two seconds, whereas a load takes
 * about 15 s. Groups that need no load are therefore formed first and at once.
 * <p>
 * Two survivors of a fabric domain become free sooner than four, so without a guard the
 * model with the larger groups would lose its instances to the other model two at a time
 * until no group serves it. An instance therefore keeps the weights of a model that is
 * underprovisioned, and gives up those of another model only after it has waited
 * {@value #PARTNER_WAIT_SECONDS} s for partners. Each model's groups are packed into as
 * few fabric domains as can hold them, since survivors find partners only within their
 * domain: a domain with two groups of four and two more instances with the same weights
 * re-forms both groups after each of two losses. The domains of one model are spread over
 * the availability zones.
 */
final class GroupAllocator {

	private static final long PARTNER_WAIT_SECONDS = 4;

	private static final long PARTNER_WAIT_NANOS = PARTNER_WAIT_SECONDS * 1_000_000_000L;

	private final WeightInventory weights;

	private final Map<String, Long> idleSinceNanos = new HashMap<>();

	GroupAllocator(WeightInventory weights) {
		this.weights = weights;
	}

	void updateIdleTimes(long nowNanos, List<ServingInstance> free) {
		this.idleSinceNanos.keySet().retainAll(free.stream().map(ServingInstance::id).toList());
		free.forEach((instance) -> this.idleSinceNanos.putIfAbsent(instance.id(), nowNanos));
	}

	/**
	 * Returns the instances that have waited for partners as long as they should.
	 * @param nowNanos the monotonic time
	 * @param free the instances that may be assigned
	 * @return those that have been idle for the partner wait
	 */
	List<ServingInstance> waitedForPartners(long nowNanos, List<ServingInstance> free) {
		return free.stream()
			.filter((instance) -> nowNanos
					- this.idleSinceNanos.getOrDefault(instance.id(), nowNanos) >= PARTNER_WAIT_NANOS)
			.toList();
	}

	/**
	 * Selects the next group.
	 * @param view what the planner sees
	 * @param free the instances that may be assigned
	 * @param counts how many instances serve or will serve each model
	 * @param loadsAllowed whether members may load the weights as they join
	 * @return the model and its members; empty if no group can be formed now
	 */
	Optional<Proposal> nextProposal(PlannerView view, List<ServingInstance> free, ModelInstanceCounts counts,
			boolean loadsAllowed) {
		return nextProposal(view, view.engine().models(), free, counts, loadsAllowed);
	}

	/**
	 * Selects the next group of one of some models.
	 * @param view what the planner sees
	 * @param models the models that may get a group
	 * @param free the instances that may be assigned
	 * @param counts how many instances serve or will serve each model
	 * @param loadsAllowed whether members may load the weights as they join
	 * @return the model and its members; empty if no group can be formed now
	 */
	Optional<Proposal> nextProposal(PlannerView view, List<EngineModel> models, List<ServingInstance> free,
			ModelInstanceCounts counts, boolean loadsAllowed) {
		final Map<String, List<ServingInstance>> byDomain = new TreeMap<>();
		free.forEach((instance) -> byDomain.computeIfAbsent(instance.fabricDomain(), (name) -> new ArrayList<>())
			.add(instance));
		final List<Proposal> proposals = new ArrayList<>();
		for (final EngineModel model : models) {
			for (final List<ServingInstance> domainInstances : byDomain.values()) {
				propose(view, model, domainInstances, counts).ifPresent(proposals::add);
			}
		}
		return proposals.stream()
			.filter((proposal) -> loadsAllowed || proposal.weightLoads() == 0)
			.min(Comparator.comparing((Proposal proposal) -> proposal.weightLoads() > 0)
				.thenComparingDouble((proposal) -> counts.nextFillRatio(proposal.model()))
				.thenComparingInt(Proposal::weightLoads)
				.thenComparingInt((proposal) -> countOtherModelsInDomain(view, proposal, counts))
				.thenComparingInt((proposal) -> -countSameModelInDomain(proposal, counts))
				.thenComparingInt(
						(proposal) -> counts.inAvailabilityZone(proposal.model().name(), proposal.availabilityZone())));
	}

	private static int countSameModelInDomain(Proposal proposal, ModelInstanceCounts counts) {
		return counts.inDomain(proposal.model().name(), proposal.fabricDomain());
	}

	private static int countOtherModelsInDomain(PlannerView view, Proposal proposal, ModelInstanceCounts counts) {
		return view.engine()
			.models()
			.stream()
			.filter((model) -> model != proposal.model())
			.mapToInt((model) -> counts.inDomain(model.name(), proposal.fabricDomain()))
			.sum();
	}

	private Optional<Proposal> propose(PlannerView view, EngineModel model, List<ServingInstance> domainInstances,
			ModelInstanceCounts counts) {
		if (model.members() <= 0 || domainInstances.size() < model.members()) {
			return Optional.empty();
		}
		final List<ServingInstance> members = domainInstances.stream()
			.sorted(Comparator.comparing((ServingInstance instance) -> !this.weights.holds(instance, model.name()))
				.thenComparingInt(this.weights::countModels)
				.thenComparingLong((instance) -> this.idleSinceNanos.getOrDefault(instance.id(), view.nowNanos()))
				.thenComparing(ServingInstance::id))
			.limit(model.members())
			.toList();
		if (!view.beforeTraffic()
				&& members.stream().anyMatch((instance) -> isHeldForOtherModel(view, instance, model, counts))) {
			return Optional.empty();
		}
		final int loads = (int) members.stream()
			.filter((instance) -> !this.weights.holds(instance, model.name()))
			.count();
		return Optional.of(new Proposal(model, members, loads));
	}

	// Returns whether an instance is held for another model whose weights it has. An
	// instance that would have to load gives those weights up, so it is held while the
	// other model is underprovisioned, and in any case for the partner wait. An instance
	// that needs no load keeps them, so it is held for the partner wait only, and only if
	// the other model is underprovisioned.
	private boolean isHeldForOtherModel(PlannerView view, ServingInstance instance, EngineModel model,
			ModelInstanceCounts counts) {
		final long idleNanos = view.nowNanos() - this.idleSinceNanos.getOrDefault(instance.id(), view.nowNanos());
		final boolean withinPartnerWait = idleNanos < PARTNER_WAIT_NANOS;
		final boolean holdsWeights = this.weights.holds(instance, model.name());
		for (final EngineModel other : view.engine().models()) {
			if (other != model && this.weights.holds(instance, other.name())) {
				final boolean otherUnderprovisioned = counts.isUnderprovisioned(other);
				if (holdsWeights ? otherUnderprovisioned && withinPartnerWait
						: otherUnderprovisioned || withinPartnerWait) {
					return true;
				}
			}
		}
		return false;
	}

	/**
	 * A group that can be formed.
	 *
	 * @param model the model that the group would serve
	 * @param members the members, the head first
	 * @param weightLoads the number of members that have to load the weights
	 */
	record Proposal(EngineModel model, List<ServingInstance> members, int weightLoads) {

		String fabricDomain() {
			return this.members.get(0).fabricDomain();
		}

		String availabilityZone() {
			return this.members.get(0).availabilityZone();
		}

	}

}
