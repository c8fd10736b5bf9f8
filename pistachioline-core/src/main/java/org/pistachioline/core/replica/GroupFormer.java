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
 * What counts is how soon the survivors serve again. Members that have the weights on
 * their host are ready in a second or two; a load takes a quarter of a minute, and the
 * host forgets the weights that it had. So groups that need no load are formed first and
 * at once. An instance that has some model's weights waits {@value #PATIENCE_SECONDS} s
 * for partners with the same, since the next broken group brings some, before it gives
 * its weights up; one with nothing on its host has nothing to wait for. All members of a
 * group are of one fabric domain, as a group across domains runs several times slower.
 * The model that has the fewest instances for its share goes first, and no instance stays
 * idle for want of a share: an idle one serves nobody.
 */
final class GroupFormer {

	private static final long PATIENCE_SECONDS = 4;

	private static final long PATIENCE_NANOS = PATIENCE_SECONDS * 1_000_000_000L;

	private final Map<String, Long> idleSinceNanos = new HashMap<>();

	void note(long nowNanos, List<ServingInstance> free) {
		this.idleSinceNanos.keySet().retainAll(free.stream().map(ServingInstance::id).toList());
		free.forEach((instance) -> this.idleSinceNanos.putIfAbsent(instance.id(), nowNanos));
	}

	/**
	 * Chooses the next group.
	 * @param view what the planner sees
	 * @param free the instances that may be taken
	 * @param countByModel how many instances serve or will serve each model
	 * @return the model and its members; empty where no group can be formed now
	 */
	Optional<Formation> next(PlannerView view, List<ServingInstance> free, Map<String, Integer> countByModel) {
		final Map<String, List<ServingInstance>> byDomain = new TreeMap<>();
		free.forEach((instance) -> byDomain.computeIfAbsent(instance.fabricDomain(), (name) -> new ArrayList<>())
			.add(instance));
		final List<Formation> possible = new ArrayList<>();
		for (final EngineModel model : view.engine().models()) {
			for (final List<ServingInstance> domain : byDomain.values()) {
				candidate(view, model, domain).ifPresent(possible::add);
			}
		}
		return possible.stream()
			.min(Comparator.comparing((Formation formation) -> formation.loads() > 0)
				.thenComparingDouble((formation) -> fillRatio(formation.model(), countByModel))
				.thenComparingInt(Formation::loads));
	}

	private static double fillRatio(EngineModel model, Map<String, Integer> countByModel) {
		final double share = Math.max(model.shareRatio(), 0.01);
		return (countByModel.getOrDefault(model.name(), 0) + model.members() / 2.0) / share;
	}

	private Optional<Formation> candidate(PlannerView view, EngineModel model, List<ServingInstance> domain) {
		if (model.members() <= 0 || domain.size() < model.members()) {
			return Optional.empty();
		}
		final List<ServingInstance> members = domain.stream()
			.sorted(Comparator.comparing((ServingInstance instance) -> !has(instance, model))
				.thenComparing((instance) -> !instance.stagedModels().isEmpty())
				.thenComparingLong((instance) -> this.idleSinceNanos.getOrDefault(instance.id(), view.nowNanos()))
				.thenComparing(ServingInstance::id))
			.limit(model.members())
			.toList();
		final int loads = (int) members.stream().filter((instance) -> !has(instance, model)).count();
		final boolean patient = members.stream().anyMatch((instance) -> waits(view, instance, model));
		return (loads > 0 && patient) ? Optional.empty() : Optional.of(new Formation(model, members, loads));
	}

	private boolean waits(PlannerView view, ServingInstance instance, EngineModel model) {
		final long idleNanos = view.nowNanos() - this.idleSinceNanos.getOrDefault(instance.id(), view.nowNanos());
		return !view.beforeTraffic() && !instance.stagedModels().isEmpty() && !has(instance, model)
				&& idleNanos < PATIENCE_NANOS;
	}

	private static boolean has(ServingInstance instance, EngineModel model) {
		return instance.stagedModels().contains(model.name());
	}

	/**
	 * A group that can be formed.
	 *
	 * @param model its model
	 * @param members its members, the head first
	 * @param loads how many of them have to load the weights
	 */
	record Formation(EngineModel model, List<ServingInstance> members, int loads) {

	}

}
