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
 * Chooses which free instances form the next group, and for which model.
 * <p>
 * Made for a pool that loses two instances every few seconds and gets as many new ones.
 * What counts is how soon the survivors serve again. Members that have the weights are
 * ready in a second or two; a load takes a quarter of a minute. So groups that need no
 * load are formed first and at once.
 * <p>
 * Two survivors come together sooner than four. Without care the model with the larger
 * groups loses its instances to the other one a pair at a time, until nobody serves it.
 * So an instance does not give up the weights of a model that is short of its share at
 * all, and those of another only after {@value #PARTNER_WAIT_SECONDS} s without partners.
 * And each model's groups are packed into as few fabric domains as will hold them, since
 * survivors find partners only within their domain: a domain that holds two groups of
 * four and two more instances with the same weights forms both again after each of two
 * losses. The domains of one model are spread over the availability zones.
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
	 * Chooses the next group.
	 * @param view what the planner sees
	 * @param free the instances that may be taken
	 * @param census how many instances serve or will serve each model
	 * @param loadsAllowed whether members may load the weights as they join
	 * @return the model and its members; empty where no group can be formed now
	 */
	Optional<Proposal> nextProposal(PlannerView view, List<ServingInstance> free, ModelInstanceCounts census,
			boolean loadsAllowed) {
		final Map<String, List<ServingInstance>> byDomain = new TreeMap<>();
		free.forEach((instance) -> byDomain.computeIfAbsent(instance.fabricDomain(), (name) -> new ArrayList<>())
			.add(instance));
		final List<Proposal> possible = new ArrayList<>();
		for (final EngineModel model : view.engine().models()) {
			for (final List<ServingInstance> domain : byDomain.values()) {
				propose(view, model, domain, census).ifPresent(possible::add);
			}
		}
		return possible.stream()
			.filter((formation) -> loadsAllowed || formation.weightLoads() == 0)
			.min(Comparator.comparing((Proposal formation) -> formation.weightLoads() > 0)
				.thenComparingDouble((formation) -> census.nextFillRatio(formation.model()))
				.thenComparingInt(Proposal::weightLoads)
				.thenComparingInt((formation) -> countOtherModelsInDomain(view, formation, census))
				.thenComparingInt((formation) -> -countSameModelInDomain(formation, census))
				.thenComparingInt((formation) -> census.inAvailabilityZone(formation.model().name(),
						formation.availabilityZone())));
	}

	private static int countSameModelInDomain(Proposal formation, ModelInstanceCounts census) {
		return census.inDomain(formation.model().name(), formation.fabricDomain());
	}

	private static int countOtherModelsInDomain(PlannerView view, Proposal formation, ModelInstanceCounts census) {
		return view.engine()
			.models()
			.stream()
			.filter((model) -> model != formation.model())
			.mapToInt((model) -> census.inDomain(model.name(), formation.fabricDomain()))
			.sum();
	}

	private Optional<Proposal> propose(PlannerView view, EngineModel model, List<ServingInstance> domain,
			ModelInstanceCounts census) {
		if (model.members() <= 0 || domain.size() < model.members()) {
			return Optional.empty();
		}
		final List<ServingInstance> members = domain.stream()
			.sorted(Comparator.comparing((ServingInstance instance) -> !this.weights.holds(instance, model.name()))
				.thenComparingInt(this.weights::countModels)
				.thenComparingLong((instance) -> this.idleSinceNanos.getOrDefault(instance.id(), view.nowNanos()))
				.thenComparing(ServingInstance::id))
			.limit(model.members())
			.toList();
		if (!view.beforeTraffic()
				&& members.stream().anyMatch((instance) -> isHeldForOtherModel(view, instance, model, census))) {
			return Optional.empty();
		}
		final int loads = (int) members.stream()
			.filter((instance) -> !this.weights.holds(instance, model.name()))
			.count();
		return Optional.of(new Proposal(model, members, loads));
	}

	// Whether an instance is kept for another model whose weights it has. One that would
	// have to load gives its weights up, so it is kept for as long as the other model is
	// short, and for a while in any case. One that joins warm keeps them, so it waits for
	// partners for a while only, and only where the other model is short.
	private boolean isHeldForOtherModel(PlannerView view, ServingInstance instance, EngineModel model,
			ModelInstanceCounts census) {
		final long idleNanos = view.nowNanos() - this.idleSinceNanos.getOrDefault(instance.id(), view.nowNanos());
		final boolean patient = idleNanos < PARTNER_WAIT_NANOS;
		final boolean joinsWarm = this.weights.holds(instance, model.name());
		for (final EngineModel other : view.engine().models()) {
			if (other != model && this.weights.holds(instance, other.name())) {
				final boolean wanted = census.isUnderprovisioned(other);
				if (joinsWarm ? wanted && patient : wanted || patient) {
					return true;
				}
			}
		}
		return false;
	}

	/**
	 * A group that can be formed.
	 *
	 * @param model its model
	 * @param members its members, the head first
	 * @param weightLoads how many of them have to load the weights
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
