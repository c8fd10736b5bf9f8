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
 * all, and those of another only after {@value #PATIENCE_SECONDS} s without partners. And
 * each model's groups are packed into as few fabric domains as will hold them, since
 * survivors find partners only within their domain: a domain that holds two groups of
 * four and two more instances with the same weights forms both again after each of two
 * losses. The domains of one model are spread over the availability zones.
 */
final class GroupFormer {

	private static final long PATIENCE_SECONDS = 4;

	private static final long PATIENCE_NANOS = PATIENCE_SECONDS * 1_000_000_000L;

	private final HostWeights weights;

	private final Map<String, Long> idleSinceNanos = new HashMap<>();

	GroupFormer(HostWeights weights) {
		this.weights = weights;
	}

	void note(long nowNanos, List<ServingInstance> free) {
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
	Optional<Formation> next(PlannerView view, List<ServingInstance> free, PoolCensus census, boolean loadsAllowed) {
		final Map<String, List<ServingInstance>> byDomain = new TreeMap<>();
		free.forEach((instance) -> byDomain.computeIfAbsent(instance.fabricDomain(), (name) -> new ArrayList<>())
			.add(instance));
		final List<Formation> possible = new ArrayList<>();
		for (final EngineModel model : view.engine().models()) {
			for (final List<ServingInstance> domain : byDomain.values()) {
				candidate(view, model, domain, census).ifPresent(possible::add);
			}
		}
		return possible.stream()
			.filter((formation) -> loadsAllowed || formation.loads() == 0)
			.min(Comparator.comparing((Formation formation) -> formation.loads() > 0)
				.thenComparingDouble((formation) -> census.nextFillRatio(formation.model()))
				.thenComparingInt(Formation::loads)
				.thenComparingInt((formation) -> ofOtherModels(view, formation, census))
				.thenComparingInt((formation) -> -ofOwnModel(formation, census))
				.thenComparingInt((formation) -> census.inZone(formation.model().name(), formation.zone())));
	}

	private static int ofOwnModel(Formation formation, PoolCensus census) {
		return census.inDomain(formation.model().name(), formation.domain());
	}

	private static int ofOtherModels(PlannerView view, Formation formation, PoolCensus census) {
		return view.engine()
			.models()
			.stream()
			.filter((model) -> model != formation.model())
			.mapToInt((model) -> census.inDomain(model.name(), formation.domain()))
			.sum();
	}

	private Optional<Formation> candidate(PlannerView view, EngineModel model, List<ServingInstance> domain,
			PoolCensus census) {
		if (model.members() <= 0 || domain.size() < model.members()) {
			return Optional.empty();
		}
		final List<ServingInstance> members = domain.stream()
			.sorted(Comparator.comparing((ServingInstance instance) -> !this.weights.holds(instance, model.name()))
				.thenComparingInt(this.weights::count)
				.thenComparingLong((instance) -> this.idleSinceNanos.getOrDefault(instance.id(), view.nowNanos()))
				.thenComparing(ServingInstance::id))
			.limit(model.members())
			.toList();
		if (!view.beforeTraffic() && members.stream().anyMatch((instance) -> isKept(view, instance, model, census))) {
			return Optional.empty();
		}
		final int loads = (int) members.stream()
			.filter((instance) -> !this.weights.holds(instance, model.name()))
			.count();
		return Optional.of(new Formation(model, members, loads));
	}

	// Whether an instance is kept for another model whose weights it has. One that would
	// have to load gives its weights up, so it is kept for as long as the other model is
	// short, and for a while in any case. One that joins warm keeps them, so it waits for
	// partners for a while only, and only where the other model is short.
	private boolean isKept(PlannerView view, ServingInstance instance, EngineModel model, PoolCensus census) {
		final long idleNanos = view.nowNanos() - this.idleSinceNanos.getOrDefault(instance.id(), view.nowNanos());
		final boolean patient = idleNanos < PATIENCE_NANOS;
		final boolean joinsWarm = this.weights.holds(instance, model.name());
		for (final EngineModel other : view.engine().models()) {
			if (other != model && this.weights.holds(instance, other.name())) {
				final boolean wanted = census.isShort(other);
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
	 * @param loads how many of them have to load the weights
	 */
	record Formation(EngineModel model, List<ServingInstance> members, int loads) {

		String domain() {
			return this.members.get(0).fabricDomain();
		}

		String zone() {
			return this.members.get(0).availabilityZone();
		}

	}

}
