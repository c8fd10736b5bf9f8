package org.pistachioline.core.planner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.pistachioline.core.manifest.ModelSpec;
import org.pistachioline.core.manifest.WeightSpec;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.state.GroupState;

/**
 * Drains groups that other models have beyond their minimum, to free instances for a
 * model that has too few groups.
 * <p>
 * This happens where instances of a fabric domain were given to a model with high demand
 * while another model lacked a member. As few groups as possible are drained, in one
 * domain, and the freed instances are reserved for the model that needs them.
 */
final class InstanceReclaimer {

	/** The time from the drain of a group without requests to its dissolution. */
	static final long IDLE_DRAIN_NANOS = 5_000_000_000L;

	/** The longest wait of a model with too few groups, whatever the weights are. */
	private static final long MAX_WAIT_NANOS = 1_800_000_000_000L;

	private final PlannerInput input;

	private final PlannerMemory memory;

	private final PlanDraft draft;

	private final FreeInstances free;

	private final Set<String> reservedDomains = new HashSet<>();

	InstanceReclaimer(PlannerInput input, PlannerMemory memory, PlanDraft draft, FreeInstances free) {
		this.input = input;
		this.memory = memory;
		this.draft = draft;
		this.free = free;
	}

	boolean isReserved(String domain) {
		return this.reservedDomains.contains(domain);
	}

	void reclaimFor(ModelSpec model) {
		final long nowNanos = this.input.nowNanos();
		final long belowMinimumNanos = nowNanos - this.memory.sinceNanos("below " + model.name(), nowNanos);
		final Set<String> domains = new TreeSet<>();
		this.input.instances()
			.stream()
			.filter((instance) -> instance.pool().equals(model.pool()))
			.forEach((instance) -> domains.add(instance.fabricDomain()));
		domains.removeAll(this.draft.unreachableDomains());
		domains.removeAll(this.reservedDomains);
		final Map<String, List<GroupState>> drainsByDomain = new HashMap<>();
		domains.forEach(
				(domain) -> groupsToDrain(model, domain).ifPresent((groups) -> drainsByDomain.put(domain, groups)));
		drainsByDomain.keySet()
			.stream()
			.min(Comparator.comparingInt((String domain) -> drainsByDomain.get(domain).size())
				.thenComparing(Comparator.naturalOrder()))
			.filter((domain) -> belowMinimumNanos >= waitNanos(model, drainsByDomain.get(domain)))
			.ifPresent((domain) -> {
				this.reservedDomains.add(domain);
				this.input.ownEpoch(domain)
					.ifPresent((planner) -> drainsByDomain.get(domain)
						.forEach((group) -> this.draft.drain(group, planner,
								"model " + model.name() + " lacks its least number of replicas")));
			});
	}

	// Reclaiming costs the accelerators of the drained groups until the new group
	// has loaded. The model waits until its downtime, and the free accelerators that
	// stay unused meanwhile, have cost the same by the operators' weights.
	private long waitNanos(ModelSpec model, List<GroupState> drains) {
		if (drains.isEmpty()) {
			return 0;
		}
		final int accelerators = drains.stream().mapToInt(GroupState::accelerators).sum();
		final WeightSpec weights = this.input.manifest().weights();
		final int idleAccelerators = this.free.accelerators(model.pool(), drains.get(0).fabricDomain());
		final double ratio = weights.strandedAccelerators() * accelerators
				/ (weights.groupDowntime() + weights.strandedAccelerators() * idleAccelerators);
		return (long) Math.min(MAX_WAIT_NANOS,
				ratio * (IDLE_DRAIN_NANOS + this.memory.expectedLoadNanos(model.name())));
	}

	// Returns the groups to drain so that the model fits: an empty list where the
	// groups that already drain suffice, and no value where it cannot fit.
	private Optional<List<GroupState>> groupsToDrain(ModelSpec model, String domain) {
		return groupsToDrain(this.input, this.draft, model, domain, this.free.count(model.pool(), domain));
	}

	static Optional<List<GroupState>> groupsToDrain(PlannerInput input, PlanDraft draft, ModelSpec model, String domain,
			int freeInstances) {
		int availableInstances = freeInstances;
		final List<GroupState> surplus = new ArrayList<>();
		for (final GroupState group : input.fleet().groups().values()) {
			if (!group.fabricDomain().equals(domain)) {
				continue;
			}
			if (group.draining()) {
				availableInstances += countResponsive(input, group);
			}
			else if (isSurplus(input, draft, model, group)) {
				surplus.add(group);
			}
		}
		surplus.sort(Comparator.comparingLong((GroupState group) -> -group.epoch()));
		final List<GroupState> drains = new ArrayList<>();
		for (final GroupState group : surplus) {
			if (availableInstances < model.members()) {
				drains.add(group);
				availableInstances += countResponsive(input, group);
			}
		}
		return (availableInstances >= model.members()) ? Optional.of(drains) : Optional.empty();
	}

	private static boolean isSurplus(PlannerInput input, PlanDraft draft, ModelSpec beneficiary, GroupState group) {
		return input.manifest()
			.model(group.model())
			.filter((model) -> model.pool().equals(beneficiary.pool()) && !model.name().equals(beneficiary.name())
					&& draft.countedReplicas(model.name()) > model.minReplicas())
			.isPresent() && !draft.hasUnresponsiveMember(group);
	}

	private static int countResponsive(PlannerInput input, GroupState group) {
		return (int) group.members()
			.stream()
			.map(Member::instanceId)
			.filter((id) -> !input.unresponsiveIds().contains(id))
			.count();
	}

}
