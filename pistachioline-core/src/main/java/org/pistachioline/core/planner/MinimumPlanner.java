package org.pistachioline.core.planner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.manifest.ModelSpec;
import org.pistachioline.core.record.GroupDissolution;
import org.pistachioline.core.record.GroupFormation;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.state.GroupState;
import org.pistachioline.core.state.PlannerEpoch;

/**
 * Keeps each model at its least number of replica groups and dissolves what is not
 * declared or has lost a listed member; the baseline that always dissolves.
 */
public final class MinimumPlanner implements Planner {

	@Override
	public List<RecordBody> plan(PlannerInput input) {
		final List<RecordBody> records = new ArrayList<>();
		final Map<String, Instance> listed = input.instances()
			.stream()
			.collect(Collectors.toMap(Instance::id, (instance) -> instance, (first, second) -> first));
		final Map<String, Integer> groupsByModel = new HashMap<>();
		for (final GroupState group : input.fleet().groups().values()) {
			final PlannerEpoch planner = input.fleet().planners().get(group.fabricDomain());
			final boolean mine = planner != null && planner.writer().equals(input.writer());
			final boolean broken = group.members().stream().anyMatch((member) -> !isUsable(listed, member));
			final boolean unwanted = input.manifest().model(group.model()).isEmpty();
			if (mine && (broken || unwanted)) {
				records.add(new GroupDissolution(group.groupId(), group.epoch(), planner.epoch(),
						broken ? "member lost" : "model not declared"));
			}
			else {
				groupsByModel.merge(group.model(), 1, Integer::sum);
			}
		}
		for (final ModelSpec model : input.manifest().models()) {
			if (groupsByModel.getOrDefault(model.name(), 0) < model.minReplicas()) {
				form(input, model, records);
			}
		}
		return records;
	}

	private static boolean isUsable(Map<String, Instance> listed, Member member) {
		final Instance instance = listed.get(member.instanceId());
		return instance != null && !instance.leaving();
	}

	// One group a time, where most is free, so that two planners seldom form too many.
	private static void form(PlannerInput input, ModelSpec model, List<RecordBody> records) {
		final Map<String, List<Instance>> free = new TreeMap<>();
		for (final Instance instance : input.instances()) {
			final boolean usable = instance.pool().equals(model.pool()) && !instance.leaving()
					&& !input.fleet().owners().containsKey(instance.id());
			if (usable) {
				free.computeIfAbsent(instance.fabricDomain(), (key) -> new ArrayList<>()).add(instance);
			}
		}
		final Comparator<Map.Entry<String, List<Instance>>> bySize = Comparator
			.comparingInt((entry) -> entry.getValue().size());
		final Map.Entry<String, List<Instance>> best = free.entrySet().stream().max(bySize).orElse(null);
		if (best == null || best.getValue().size() < model.members()) {
			return;
		}
		final PlannerEpoch planner = input.fleet().planners().get(best.getKey());
		if (planner == null || !planner.writer().equals(input.writer())) {
			return;
		}
		final List<Member> members = best.getValue()
			.stream()
			.sorted(Comparator.comparing(Instance::id))
			.limit(model.members())
			.map((instance) -> new Member(instance.id(), instance.fabricDomain(), instance.address(),
					instance.availabilityZone(), instance.accelerators()))
			.toList();
		records.add(new GroupFormation(groupId(model, members, input.nowNanos()), model.name(), planner.epoch(),
				members, input.configVersion()));
	}

	private static String groupId(ModelSpec model, List<Member> members, long nowNanos) {
		return model.name() + "-" + members.get(0).instanceId() + "-" + Long.toString(nowNanos, Character.MAX_RADIX);
	}

}
