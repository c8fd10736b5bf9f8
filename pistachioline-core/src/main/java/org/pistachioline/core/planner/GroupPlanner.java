package org.pistachioline.core.planner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.manifest.ModelSpec;
import org.pistachioline.core.record.GroupDissolution;
import org.pistachioline.core.record.GroupDrain;
import org.pistachioline.core.state.GroupState;
import org.pistachioline.core.state.PlannerEpoch;

/**
 * Forms, drains and dissolves groups so that each model has as many as its demand needs.
 * <p>
 * All planners see the same log and the same list, and each lays out the same groups in
 * the same order; each proposes only what falls into its own fabric domains. So two of
 * them seldom form the same group twice, and where their views differ for a moment the
 * model has one group too many, which is drained again.
 */
public final class GroupPlanner implements Planner {

	private final MemberLossPolicy lossPolicy;

	/**
	 * Creates a planner.
	 * @param lossPolicy decides how long a group waits for a lost member
	 */
	public GroupPlanner(MemberLossPolicy lossPolicy) {
		this.lossPolicy = lossPolicy;
	}

	@Override
	public Plan plan(PlannerInput input, PlannerMemory memory) {
		memory.startPass(input);
		final PlanDraft draft = new PlanDraft(input);
		final Map<String, List<GroupState>> byModel = new TreeMap<>(
				input.fleet().groups().values().stream().collect(Collectors.groupingBy(GroupState::model)));
		final Collection<GroupState> mine = input.fleet()
			.groups()
			.values()
			.stream()
			.filter((group) -> input.ownEpoch(group.fabricDomain()).isPresent())
			.toList();
		draft.unreachableDomains().addAll(UnreachableDomains.find(input, memory, mine));
		final GroupLifecycle review = new GroupLifecycle(input, memory, draft, this.lossPolicy);
		for (final ModelSpec model : input.manifest().models()) {
			final List<GroupState> groups = byModel.getOrDefault(model.name(), List.of());
			final int desired = ReplicaAutoscaler.desiredReplicas(input, memory, model, groups);
			draft.setReplicaCounts(model, desired, review.countReplicas(groups));
		}
		for (final GroupState group : sortedByEpoch(mine)) {
			review.decide(group);
		}
		drainExcess(input, draft, byModel);
		new GroupPlacement(input, memory, draft).placeGroups();
		explainFreeInstances(input, draft);
		memory.endPass();
		return draft.toPlan();
	}

	private static List<GroupState> sortedByEpoch(Collection<GroupState> groups) {
		final List<GroupState> sorted = new ArrayList<>(groups);
		sorted.sort((first, second) -> Long.compare(first.epoch(), second.epoch()));
		return sorted;
	}

	// The newest go first: they have the least cached, and all planners agree on them.
	private static void drainExcess(PlannerInput input, PlanDraft draft, Map<String, List<GroupState>> byModel) {
		for (final ModelSpec model : input.manifest().models()) {
			final List<GroupState> groups = sortedByEpoch(byModel.getOrDefault(model.name(), List.of())).stream()
				.filter((group) -> !group.draining() && !draft.hasUnresponsiveMember(group))
				.toList();
			for (int i = draft.desiredReplicas(model.name()); i < groups.size(); i++) {
				final GroupState group = groups.get(i);
				input.ownEpoch(group.fabricDomain())
					.filter((planner) -> !draft.isOutdated(group))
					.ifPresent((planner) -> draft.drain(group, planner, "more replicas than demand needs"));
			}
		}
	}

	private static void explainFreeInstances(PlannerInput input, PlanDraft draft) {
		for (final Instance instance : input.instances()) {
			final boolean free = input.ownEpoch(instance.fabricDomain()).isPresent()
					&& !input.fleet().groupIdsByInstance().containsKey(instance.id())
					&& !draft.isAssigned(instance.id());
			if (free) {
				draft.explainFree(instance.id(), reasonWhyFree(input, draft, instance));
			}
		}
	}

	private static String reasonWhyFree(PlannerInput input, PlanDraft draft, Instance instance) {
		if (instance.leaving()) {
			return "the platform takes it away";
		}
		if (input.unresponsiveIds().contains(instance.id())) {
			return "it does not answer";
		}
		final Set<String> shortOf = draft.modelsBelowDesired(instance.pool());
		if (shortOf.isEmpty()) {
			return "no model of its pool needs another replica";
		}
		return "no group can be formed here now for " + String.join(", ", shortOf) + ": "
				+ draft.blockReason(instance.pool(), instance.fabricDomain());
	}

	static GroupDissolution dissolution(GroupState group, PlannerEpoch planner, String reason) {
		return new GroupDissolution(group.groupId(), group.epoch(), planner.epoch(), reason);
	}

	static GroupDrain drainOf(GroupState group, PlannerEpoch planner, String reason) {
		return new GroupDrain(group.groupId(), group.epoch(), planner.epoch(), reason);
	}

}
