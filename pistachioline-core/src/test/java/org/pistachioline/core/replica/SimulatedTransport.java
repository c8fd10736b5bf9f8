package org.pistachioline.core.replica;

import java.util.Random;

/**
 * The way of orders from the planners of a {@link ReplicaSimulation} to the instances,
 * and of the answers back. Some orders are lost, and some are executed seconds after they
 * were found unanswered.
 */
final class SimulatedTransport {

	/** Daemons do not wait longer for the answer to an order. */
	private static final int ORDER_TIMEOUT_MILLIS = 1_000;

	private static final double CROSSING_RATIO = 0.3;

	private static final double CUT_RATIO = 0.5;

	private final ReplicaSimulation simulation;

	private final double lostRatio;

	private final double lateRatio;

	private final LateOrderQueue lateOrders = new LateOrderQueue();

	private final DelayedActions underWay = new DelayedActions();

	SimulatedTransport(ReplicaSimulation simulation, double lostRatio, double lateRatio) {
		this.simulation = simulation;
		this.lostRatio = lostRatio;
		this.lateRatio = lateRatio;
	}

	void send(ReplicaPlanner planner, FencingTokens tokens, ReplicaOrder order, long fencingToken) {
		final Random random = this.simulation.random;
		final double draw = random.nextDouble();
		if (draw < this.lostRatio) {
			answer(planner, tokens, order, fencingToken, OrderOutcome.UNKNOWN);
		}
		else if (draw < this.lostRatio + this.lateRatio) {
			answer(planner, tokens, order, fencingToken, OrderOutcome.UNKNOWN);
			this.lateOrders.add(this.simulation.nowMillis + 2_000 + random.nextInt(10_000), order, fencingToken);
		}
		else if (this.simulation.crossingOrders && random.nextDouble() < CROSSING_RATIO) {
			this.underWay.add(this.simulation.nowMillis + random.nextInt(ORDER_TIMEOUT_MILLIS),
					() -> planner.onOutcome(order, tokens.interpret(order.instance().address(), fencingToken,
							this.simulation.execution.execute(order, fencingToken))));
		}
		else {
			answer(planner, tokens, order, fencingToken, this.simulation.execution.execute(order, fencingToken));
		}
	}

	private void answer(ReplicaPlanner planner, FencingTokens tokens, ReplicaOrder order, long fencingToken,
			OrderOutcome outcome) {
		final Runnable answer = () -> planner.onOutcome(order,
				tokens.interpret(order.instance().address(), fencingToken, outcome));
		if (this.simulation.lateAnswers) {
			this.underWay.add(this.simulation.nowMillis + ORDER_TIMEOUT_MILLIS, answer);
		}
		else {
			answer.run();
		}
	}

	void deliver() {
		for (final LateOrderQueue.LateOrder lateOrder : this.lateOrders.takeDue(this.simulation.nowMillis)) {
			final boolean restarted = this.simulation.restartedAs.containsKey(lateOrder.order().instance().id());
			if (!restarted || this.simulation.lateOrdersReachRestarted || this.simulation.restartsKeepId) {
				if (this.simulation.cutsDuringLateOrders && this.simulation.random.nextDouble() < CUT_RATIO) {
					cutFromStore(this.simulation.currentInstance(lateOrder.order().instance().id()));
				}
				this.simulation.execution.execute(lateOrder.order(), lateOrder.fencingToken());
			}
		}
		this.underWay.runDue(this.simulation.nowMillis);
	}

	private void cutFromStore(SimulatedInstance instance) {
		if (this.simulation.nowMillis >= instance.partitionedUntilMillis) {
			instance.unreachable = false;
			instance.partitionedUntilMillis = this.simulation.nowMillis + 2_000 + this.simulation.random.nextInt(8_000);
		}
	}

	/**
	 * Lets the late orders to an instance that has just restarted arrive within a second.
	 * @param instanceId the instance before its restart
	 */
	void hastenLateOrdersTo(String instanceId) {
		this.lateOrders.hasten(instanceId,
				() -> this.simulation.nowMillis + 100 + this.simulation.random.nextInt(1_000));
	}

}
