package org.pistachioline.core.planner;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.manifest.ModelSpec;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.state.GroupState;
import org.pistachioline.core.state.PlannerEpoch;

/**
 * Decides on one existing group at a time: keep, wait, drain or dissolve.
 */
final class GroupLifecycle {

	/** Until every daemon has read the drain and its last requests show in the load. */
	private static final long DRAIN_PROPAGATION_NANOS = 5_000_000_000L;

	/** A load that takes longer than this will not end. */
	private static final long LOAD_TIMEOUT_NANOS = 900_000_000_000L;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final double NANOS_PER_SECOND = 1e9;

	private final PlannerInput input;

	private final PlannerMemory memory;

	private final PlanDraft draft;

	private final MemberLossPolicy lossPolicy;

	private final Map<String, Instance> listedById;

	private final FreeInstances free;

	GroupLifecycle(PlannerInput input, PlannerMemory memory, PlanDraft draft, MemberLossPolicy lossPolicy) {
		this.input = input;
		this.memory = memory;
		this.draft = draft;
		this.lossPolicy = lossPolicy;
		this.listedById = input.instances()
			.stream()
			.collect(Collectors.toMap(Instance::id, (instance) -> instance, (first, second) -> first));
		this.free = new FreeInstances(input);
	}

	// A group that lacks a member counts for as long as a load takes, so that a short
	// absence forms nothing, and then no longer, so that a long one is made up for
	// elsewhere.
	int countReplicas(List<GroupState> groups) {
		int counted = 0;
		for (final GroupState group : groups) {
			final boolean gone = group.draining() || hasLeavingMember(group)
					|| (incompleteNanos(group) > this.memory.expectedLoadNanos(group.model())
							&& !this.draft.unreachableDomains().contains(group.fabricDomain()));
			counted += gone ? 0 : 1;
		}
		return counted;
	}

	void decide(GroupState group) {
		final PlannerEpoch planner = this.input.ownEpoch(group.fabricDomain()).orElseThrow();
		if (group.draining()) {
			decideDraining(group, planner);
		}
		else if (this.draft.unreachableDomains().contains(group.fabricDomain())) {
			this.draft.explain(group, "waits: its fabric domain is dark");
		}
		else if (!this.memory.isTakeoverComplete(group.fabricDomain(), this.input.nowNanos())) {
			this.draft.explain(group, "waits: this daemon has just begun to plan the fabric domain");
		}
		else if (hasLeavingMember(group)) {
			this.draft.drain(group, planner, "the platform takes a member away");
		}
		else if (!unresponsiveMembers(group).isEmpty()) {
			decideIncomplete(group, planner);
		}
		else {
			decideResponsive(group, planner);
		}
	}

	private boolean hasLeavingMember(GroupState group) {
		return group.members().stream().anyMatch((member) -> {
			final Instance instance = this.listedById.get(member.instanceId());
			return instance != null && instance.leaving();
		});
	}

	// One that the platform no longer lists but that answers is not lost: the list lags,
	// and one empty answer of it must not take the whole fleet down.
	private List<Member> unresponsiveMembers(GroupState group) {
		return group.members()
			.stream()
			.filter((member) -> this.input.unresponsiveIds().contains(member.instanceId()))
			.toList();
	}

	private long incompleteNanos(GroupState group) {
		// Of other planners' groups only their presence is known, and a loading one lacks
		// it.
		final boolean absent = this.input.ownEpoch(group.fabricDomain()).isPresent()
				? !unresponsiveMembers(group).isEmpty()
				: this.input.missingRanks().containsKey(group.groupId()) && this.memory.wasComplete(group);
		if (!absent) {
			return 0;
		}
		return this.input.nowNanos() - this.memory.sinceNanos("lost " + group.epoch(), this.input.nowNanos());
	}

	private void decideDraining(GroupState group, PlannerEpoch planner) {
		final long nowNanos = this.input.nowNanos();
		final long sinceNanos = this.memory.sinceNanos("drain " + group.epoch(), nowNanos);
		final long longestNanos = DRAIN_PROPAGATION_NANOS
				+ this.input.manifest().deadlines().totalMillis() * NANOS_PER_MILLI;
		final GroupLoad load = this.input.loads().get(group.groupId());
		final boolean idle = load != null && load.totalRequests() == 0
				&& load.probedAtNanos() - sinceNanos >= DRAIN_PROPAGATION_NANOS;
		if (!unresponsiveMembers(group).isEmpty()) {
			this.draft.dissolve(group, planner, "drained, and a member is gone");
		}
		else if (idle || nowNanos - sinceNanos >= longestNanos) {
			this.draft.dissolve(group, planner, idle ? "drained: " + group.reason() : "no request may run any longer");
		}
		else {
			this.draft.explain(group, "drains: " + group.reason());
		}
	}

	private void decideIncomplete(GroupState group, PlannerEpoch planner) {
		final List<Member> lost = unresponsiveMembers(group);
		final boolean unlisted = lost.stream().anyMatch((member) -> !this.listedById.containsKey(member.instanceId()));
		if (unlisted) {
			this.draft.dissolve(group, planner, "a member is gone for good");
			return;
		}
		final long absentNanos = incompleteNanos(group);
		final boolean replacedElsewhere = absentNanos > this.memory.expectedLoadNanos(group.model())
				&& this.draft.missingReplicas(group.model()) <= 0;
		final long waitNanos = this.lossPolicy.waitNanos(describeLoss(group, lost, absentNanos));
		if (replacedElsewhere) {
			this.draft.dissolve(group, planner, "another group took its place");
		}
		else if (absentNanos >= waitNanos) {
			this.draft.dissolve(group, planner, "a member is missing for too long");
		}
		else {
			this.draft.explain(group,
					"waits for " + lost.get(0).instanceId() + ", absent for " + (long) (absentNanos / NANOS_PER_SECOND)
							+ " s" + ((waitNanos == Long.MAX_VALUE) ? ": nothing else can use the other members"
									: ", at most " + (long) (waitNanos / NANOS_PER_SECOND) + " s"));
		}
	}

	private MemberLoss describeLoss(GroupState group, List<Member> lost, long absentNanos) {
		final String pool = this.input.manifest().model(group.model()).map(ModelSpec::pool).orElse("");
		final int spare = this.free.count(pool, group.fabricDomain());
		final int surviving = group.members().size() - lost.size();
		final boolean wanted = this.input.manifest()
			.models()
			.stream()
			.anyMatch((model) -> !model.name().equals(group.model()) && model.pool().equals(pool)
					&& this.draft.missingReplicas(model.name()) > 0 && model.members() <= spare + surviving);
		final int accelerators = group.accelerators() - lost.stream().mapToInt(Member::accelerators).sum();
		final int drained = this.input.manifest()
			.model(group.model())
			.flatMap((model) -> InstanceReclaimer.groupsToDrain(this.input, this.draft, model, group.fabricDomain(),
					spare + surviving))
			.map((drains) -> drains.stream().mapToInt(GroupState::accelerators).sum())
			.orElse(MemberLoss.NOT_RECLAIMABLE);
		return new MemberLoss(absentNanos, this.memory.expectedLoadNanos(group.model()), accelerators,
				group.accelerators(), spare >= lost.size(), drained, wanted, this.input.manifest().weights());
	}

	private void decideResponsive(GroupState group, PlannerEpoch planner) {
		final boolean declared = this.input.manifest().model(group.model()).isPresent();
		if (!declared) {
			this.draft.drain(group, planner, "the configuration no longer has the model");
		}
		else if (this.draft.isOutdated(group)) {
			if (isNextToUpdate(group)) {
				this.draft.drain(group, planner, "the configuration changed the model's members");
			}
			else {
				this.draft.explain(group, "waits for its turn to take the changed configuration");
			}
		}
		else if (!this.input.missingRanks().containsKey(group.groupId())) {
			this.draft.explain(group, "serves");
		}
		else if (this.input.nowNanos() - this.memory.firstSeenAtNanos(group) > LOAD_TIMEOUT_NANOS
				&& !this.memory.wasComplete(group)) {
			this.draft.dissolve(group, planner, "it did not load");
		}
		else {
			this.draft.explain(group, "loads");
		}
	}

	// One group a time, the oldest, and only while none drains or loads: the others serve
	// meanwhile, and all planners agree on which it is.
	private boolean isNextToUpdate(GroupState group) {
		for (final GroupState other : this.input.fleet().groups().values()) {
			if (!other.model().equals(group.model()) || other.groupId().equals(group.groupId())) {
				continue;
			}
			final boolean loads = this.input.missingRanks().containsKey(other.groupId())
					&& !this.memory.wasComplete(other);
			final boolean earlier = other.epoch() < group.epoch() && this.draft.isOutdated(other);
			if (other.draining() || loads || earlier) {
				return false;
			}
		}
		return true;
	}

}
