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
 * Makes room for a model that lacks its least number of groups, by draining groups that
 * other models have beyond theirs.
 * <p>
 * Made for a fabric domain whose instances were lent to a busy model while a member of
 * another was missing. It drains as few groups as will do, in one domain, and keeps what
 * comes free there for the model that lacks it.
 */
final class InstanceReclaimer {

	/** The time from a drain to the dissolution when nothing runs. */
	static final long IDLE_DRAIN_NANOS = 5_000_000_000L;

	/**
	 * However the weights stand, a model below its least number is not kept waiting
	 * longer.
	 */
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
		final long belowNanos = nowNanos - this.memory.sinceNanos("below " + model.name(), nowNanos);
		final Set<String> domains = new TreeSet<>();
		this.input.instances()
			.stream()
			.filter((instance) -> instance.pool().equals(model.pool()))
			.forEach((instance) -> domains.add(instance.fabricDomain()));
		domains.removeAll(this.draft.unreachableDomains());
		domains.removeAll(this.reservedDomains);
		final Map<String, List<GroupState>> drainsByDomain = new HashMap<>();
		domains.forEach(
				(domain) -> groupsToDrain(model, domain).ifPresent((drains) -> drainsByDomain.put(domain, drains)));
		drainsByDomain.keySet()
			.stream()
			.min(Comparator.comparingInt((String domain) -> drainsByDomain.get(domain).size())
				.thenComparing(Comparator.naturalOrder()))
			.filter((domain) -> belowNanos >= waitNanos(model, drainsByDomain.get(domain)))
			.ifPresent((domain) -> {
				this.reservedDomains.add(domain);
				this.input.ownEpoch(domain)
					.ifPresent((planner) -> drainsByDomain.get(domain)
						.forEach((group) -> this.draft.drain(group, planner,
								"model " + model.name() + " lacks its least number of replicas")));
			});
	}

	// Room costs the accelerators of the drained groups until the new one has loaded. The
	// model waits until its downtime, and the free accelerators that lie idle until it
	// has
	// room, have cost as much, by the weights.
	private long waitNanos(ModelSpec model, List<GroupState> drains) {
		if (drains.isEmpty()) {
			return 0;
		}
		final int accelerators = drains.stream().mapToInt(GroupState::accelerators).sum();
		final WeightSpec weights = this.input.manifest().weights();
		final int idle = this.free.accelerators(model.pool(), drains.get(0).fabricDomain());
		final double ratio = weights.strandedAccelerators() * accelerators
				/ (weights.groupDowntime() + weights.strandedAccelerators() * idle);
		return (long) Math.min(MAX_WAIT_NANOS,
				ratio * (IDLE_DRAIN_NANOS + this.memory.expectedLoadNanos(model.name())));
	}

	// The groups to drain so that the model fits; none where draining ones suffice; empty
	// where it cannot fit.
	private Optional<List<GroupState>> groupsToDrain(ModelSpec model, String domain) {
		return groupsToDrain(this.input, this.draft, model, domain, this.free.count(model.pool(), domain));
	}

	static Optional<List<GroupState>> groupsToDrain(PlannerInput input, PlanDraft draft, ModelSpec model, String domain,
			int freeInstances) {
		int room = freeInstances;
		final List<GroupState> extra = new ArrayList<>();
		for (final GroupState group : input.fleet().groups().values()) {
			if (!group.fabricDomain().equals(domain)) {
				continue;
			}
			if (group.draining()) {
				room += countResponsive(input, group);
			}
			else if (isSurplus(input, draft, model, group)) {
				extra.add(group);
			}
		}
		extra.sort(Comparator.comparingLong((GroupState group) -> -group.epoch()));
		final List<GroupState> drains = new ArrayList<>();
		for (final GroupState group : extra) {
			if (room < model.members()) {
				drains.add(group);
				room += countResponsive(input, group);
			}
		}
		return (room >= model.members()) ? Optional.of(drains) : Optional.empty();
	}

	private static boolean isSurplus(PlannerInput input, PlanDraft draft, ModelSpec needy, GroupState group) {
		return input.manifest()
			.model(group.model())
			.filter((model) -> model.pool().equals(needy.pool()) && !model.name().equals(needy.name())
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
