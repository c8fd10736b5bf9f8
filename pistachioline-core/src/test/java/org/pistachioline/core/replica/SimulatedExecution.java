package org.pistachioline.core.replica;

import java.util.Set;

/**
 * The execution of orders by the instances of a {@link ReplicaSimulation}. It records the
 * orders that violate the planner's guarantees.
 */
final class SimulatedExecution {

	private final ReplicaSimulation simulation;

	/**
	 * Whether a further loss of a member restarts the head's stall time. Engines count
	 * from the first loss; the policy without fleet decisions is held against the harder
	 * case.
	 */
	private final boolean stallRestartsWithEachLoss;

	SimulatedExecution(ReplicaSimulation simulation, boolean stallRestartsWithEachLoss) {
		this.simulation = simulation;
		this.stallRestartsWithEachLoss = stallRestartsWithEachLoss;
	}

	void advance(SimulatedInstance instance) {
		if (instance.alive && !instance.stagingModel.isEmpty()
				&& this.simulation.nowMillis >= instance.stagedAtMillis) {
			instance.stagedModels = Set.of(instance.stagingModel);
			instance.stagingModel = "";
		}
		if (!instance.alive || instance.group == null) {
			return;
		}
		if (instance.state == MemberState.JOINING && this.simulation.nowMillis >= instance.readyAtMillis) {
			instance.state = MemberState.READY;
			instance.everReady.add(instance.group);
		}
		if (instance.state == MemberState.OPEN) {
			final long lostAtMillis = this.simulation.memberLostSince(instance);
			if (this.stallRestartsWithEachLoss || lostAtMillis < 0) {
				instance.stalledSinceMillis = lostAtMillis;
			}
			else if (instance.stalledSinceMillis < 0) {
				instance.stalledSinceMillis = this.simulation.nowMillis;
			}
			if (lostAtMillis >= 0 && this.simulation.nowMillis
					- instance.stalledSinceMillis >= ReplicaSimulation.STALL_TIMEOUT_MILLIS) {
				instance.state = MemberState.BROKEN;
			}
		}
	}

	OrderOutcome execute(ReplicaOrder order, long fencingToken) {
		final SimulatedInstance instance = this.simulation.currentInstance(order.instance().id());
		if (!instance.alive || (instance.unreachable && this.simulation.nowMillis < instance.partitionedUntilMillis)) {
			return OrderOutcome.UNKNOWN;
		}
		if (this.simulation.fencingEnforced && fencingToken < instance.highestFencingToken) {
			return OrderOutcome.FENCED;
		}
		final OrderOutcome outcome = executeAccepted(instance, order);
		if (outcome == OrderOutcome.STARTED || !this.simulation.onlyEffectsRaiseFence) {
			instance.highestFencingToken = Math.max(instance.highestFencingToken, fencingToken);
		}
		return outcome;
	}

	private OrderOutcome executeAccepted(SimulatedInstance instance, ReplicaOrder order) {
		if (order instanceof ReplicaOrder.Stage stage) {
			return stage(instance, stage.model());
		}
		final GroupId group = ((ReplicaOrder.GroupOrder) order).group();
		if (order instanceof ReplicaOrder.Join join) {
			return join(instance, join);
		}
		if (!group.equals(instance.group)) {
			return OrderOutcome.UNFIT;
		}
		if (order instanceof ReplicaOrder.Leave) {
			instance.group = null;
			instance.state = null;
			instance.groupChangedAtMillis = this.simulation.nowMillis;
			return OrderOutcome.STARTED;
		}
		return (order instanceof ReplicaOrder.Open) ? open(instance) : close(instance);
	}

	private OrderOutcome stage(SimulatedInstance instance, String model) {
		if (instance.stagedModels.contains(model) || instance.stagingModel.equals(model)) {
			return OrderOutcome.HOLDS;
		}
		instance.stagingModel = model;
		instance.stagedAtMillis = startLoad(instance, model);
		return OrderOutcome.STARTED;
	}

	private long startLoad(SimulatedInstance instance, String model) {
		return this.simulation.weightStore.start(this.simulation.nowMillis, instance,
				this.simulation.engine.model(model).orElseThrow().loadMillis(), this.simulation.isBeforeTraffic());
	}

	private OrderOutcome join(SimulatedInstance instance, ReplicaOrder.Join join) {
		if (join.group().equals(instance.group)) {
			return instance.members.equals(join.memberIds()) ? OrderOutcome.HOLDS : OrderOutcome.FENCED;
		}
		if (join.group().epoch() < instance.epoch) {
			return OrderOutcome.FENCED;
		}
		checkNotTakenFromServingGroup(instance, join);
		if (this.simulation.evacuatedZones.contains(instance.availabilityZone)) {
			this.simulation.violations
				.add(this.simulation.nowMillis + ": " + instance.id + " is evacuated and joins " + join.group());
		}
		instance.epoch = join.group().epoch();
		instance.group = join.group();
		instance.members = join.memberIds();
		instance.rank = join.memberIds().stream().map(this.simulation::member).toList().indexOf(instance);
		instance.groupChangedAtMillis = this.simulation.nowMillis;
		instance.stalledSinceMillis = -1;
		instance.state = MemberState.JOINING;
		final String model = join.group().model();
		if (model.equals(instance.lastModel)) {
			instance.readyAtMillis = this.simulation.nowMillis + 200;
		}
		else if (instance.stagedModels.contains(model)) {
			instance.readyAtMillis = this.simulation.nowMillis + 1_200;
		}
		else {
			instance.stagedModels = Set.of(model);
			instance.readyAtMillis = this.simulation.isBeforeTraffic() ? this.simulation.nowMillis + 1_600
					: this.simulation.weightStore.start(this.simulation.nowMillis, instance, 14_000, false);
		}
		instance.lastModel = model;
		return OrderOutcome.STARTED;
	}

	private void checkNotTakenFromServingGroup(SimulatedInstance instance, ReplicaOrder.Join join) {
		if (instance.group == null) {
			return;
		}
		final SimulatedInstance head = this.simulation.member(instance.members.get(0));
		if (head.alive && instance.group.equals(head.group)
				&& (head.state == MemberState.OPEN || head.state == MemberState.CLOSING)) {
			this.simulation.violations
				.add(this.simulation.nowMillis + ": " + instance.id + " reassigned to " + join.group() + " while head "
						+ head.id + " serves " + instance.group + "; listed group when it was ordered: "
						+ join.instance().membership().map((membership) -> membership.group().name()).orElse("none"));
		}
	}

	private OrderOutcome open(SimulatedInstance head) {
		if (head.state == MemberState.OPEN) {
			return OrderOutcome.HOLDS;
		}
		if (head.state != MemberState.READY || head.rank != 0) {
			return OrderOutcome.UNFIT;
		}
		for (final String id : head.members) {
			if (!this.simulation.instances.get(id).everReady.contains(head.group)
					&& !this.simulation.member(id).everReady.contains(head.group)) {
				this.simulation.violations
					.add(this.simulation.nowMillis + ": " + head.group + " opened though " + id + " was never ready");
			}
		}
		head.state = MemberState.OPEN;
		return OrderOutcome.STARTED;
	}

	private OrderOutcome close(SimulatedInstance head) {
		if (head.state == MemberState.OPEN) {
			head.state = MemberState.READY;
			return OrderOutcome.STARTED;
		}
		return (head.state == MemberState.JOINING) ? OrderOutcome.UNFIT : OrderOutcome.HOLDS;
	}

}
