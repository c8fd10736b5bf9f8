package org.pistachioline.core.replica;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.EngineSpec;

/**
 * Summarizes the state of a service's instances for operators.
 */
final class PoolSummarizer {

	private final WeightInventory weights;

	private final IdleInstances idleInstances;

	PoolSummarizer(WeightInventory weights, StagedLoads loads) {
		this.weights = weights;
		this.idleInstances = new IdleInstances(weights, loads);
	}

	/**
	 * Summarizes the state of the instances.
	 * @param instances the listed instances
	 * @param engine the engine specification of the service
	 * @param trackedGroups the groups that the planner tracks
	 * @param lastPass what the last planning pass left behind
	 * @return the summary
	 */
	PoolSummary summarize(Collection<ServingInstance> instances, EngineSpec engine,
			Collection<TrackedGroup> trackedGroups, PassResult lastPass) {
		final Map<String, ServingInstance> byId = new HashMap<>();
		instances.forEach((instance) -> byId.put(instance.id(), instance));
		final GroupCounts groups = new GroupCounts();
		trackedGroups.forEach((tracked) -> groups.add(tracked, new GroupStatus(tracked, byId), byId.keySet()));
		final List<ServingInstance> ungrouped = instances.stream()
			.filter((instance) -> !groups.memberIds.contains(instance.id()))
			.toList();
		final List<ServingInstance> free = ungrouped.stream().filter((instance) -> !instance.draining()).toList();
		final Map<IdleReason, Integer> idle = this.idleInstances.count(ungrouped, lastPass.freeIds(), engine.models());
		final int waiting = sum(groups.ending);
		if (waiting > 0) {
			idle.put(IdleReason.GROUP_ENDING, waiting);
		}
		final int freeWarm = (int) free.stream().filter(this.weights::holdsAny).count();
		final Map<String, ModelSummary> models = new HashMap<>();
		engine.models().forEach((model) -> models.put(model.name(), summarize(model, groups, free, lastPass)));
		return new PoolSummary(byId.size(), (int) instances.stream().filter(ServingInstance::draining).count(),
				groups.servingGroups, sum(groups.forming), waiting, freeWarm, free.size() - freeWarm,
				lastPass.loading(), idle, models, lastPass.decisions());
	}

	private ModelSummary summarize(EngineModel model, GroupCounts groups, List<ServingInstance> free,
			PassResult lastPass) {
		final String name = model.name();
		final ModelInstanceCounts counts = lastPass.counts();
		return new ModelSummary((counts != null) ? counts.normalizedShareRatio(model) : 0,
				(counts != null) ? counts.entitledInstances(model) : 0,
				groups.servingGroups.getOrDefault(name, 0) * model.members(), groups.forming.getOrDefault(name, 0),
				groups.ending.getOrDefault(name, 0),
				(int) free.stream().filter((instance) -> this.weights.holds(instance, name)).count());
	}

	private static int sum(Map<String, Integer> counts) {
		return counts.values().stream().mapToInt(Integer::intValue).sum();
	}

	/**
	 * Counts the groups and their listed members by model.
	 */
	private static final class GroupCounts {

		private final Map<String, Integer> servingGroups = new HashMap<>();

		private final Map<String, Integer> forming = new HashMap<>();

		private final Map<String, Integer> ending = new HashMap<>();

		private final Set<String> memberIds = new HashSet<>();

		private void add(TrackedGroup tracked, GroupStatus status, Set<String> listedIds) {
			final int members = (int) tracked.memberIds.stream().filter(listedIds::contains).count();
			if (status.serves()) {
				this.servingGroups.merge(tracked.id.model(), 1, Integer::sum);
			}
			else if (status.allListed() && !tracked.openOrdered) {
				this.forming.merge(tracked.id.model(), members, Integer::sum);
			}
			else {
				this.ending.merge(tracked.id.model(), members, Integer::sum);
			}
			this.memberIds.addAll(tracked.memberIds);
		}

	}

}
