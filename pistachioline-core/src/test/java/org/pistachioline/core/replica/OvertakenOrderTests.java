package org.pistachioline.core.replica;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class OvertakenOrderTests {

	private static final long TERM = 3;

	private static final long LONGER_THAN_A_JOIN_MILLIS = 20_000;

	private static final GroupId GROUP = GroupId.of("small", 5);

	private final ReplicaSimulation simulation = new ReplicaSimulation(1, 1, 0, 0, true);

	private final SimulatedExecution instances = new SimulatedExecution(this.simulation, false);

	private final FencingTokens tokens = new FencingTokens();

	private final SimulatedInstance head = this.simulation.instances.get("i-0");

	private final SimulatedInstance follower = this.simulation.instances.get("i-1");

	// Guards against a head that late orders bring back to the group that it has left,
	// and make serve.
	@Test
	void aHeadThatHasLeftByOrderIsNotBroughtBackByEarlierOrders() {
		final NumberedOrder lateJoin = number(join(this.head));
		execute(join(this.follower));
		execute(join(this.head));
		becomeReady();
		final NumberedOrder lateOpen = number(new ReplicaOrder.Open(this.head.report(), GROUP));
		assertThat(execute(new ReplicaOrder.Open(this.head.report(), GROUP))).isEqualTo(OrderOutcome.STARTED);
		execute(new ReplicaOrder.Close(this.head.report(), GROUP, true));
		execute(new ReplicaOrder.Leave(this.head.report(), GROUP));
		assertThat(execute(lateJoin)).isEqualTo(OrderOutcome.SUPERSEDED);
		assertThat(execute(lateOpen)).isEqualTo(OrderOutcome.SUPERSEDED);
		assertThat(this.head.group).isNull();
	}

	// Guards against a follower that a late order brings back after it was ordered to
	// leave so that its head breaks.
	@Test
	void aFollowerThatHasLeftByOrderIsNotBroughtBackByAnEarlierJoin() {
		final NumberedOrder lateJoin = number(join(this.follower));
		execute(join(this.follower));
		becomeReady();
		execute(new ReplicaOrder.Leave(this.follower.report(), GROUP));
		assertThat(execute(lateJoin)).isEqualTo(OrderOutcome.SUPERSEDED);
		assertThat(this.follower.group).isNull();
	}

	// Guards against an order to stage weights that delays a join sent beside it, by
	// reaching the instance first.
	@Test
	void aJoinIsExecutedAfterAnOrderToStageThatWasSentLater() {
		final NumberedOrder join = number(join(this.head));
		execute(new ReplicaOrder.Stage(this.head.report(), "large"));
		assertThat(execute(join)).isEqualTo(OrderOutcome.STARTED);
	}

	private static ReplicaOrder.Join join(SimulatedInstance instance) {
		return new ReplicaOrder.Join(instance.report(), GROUP, List.of("i-0", "i-1"));
	}

	private void becomeReady() {
		this.simulation.nowMillis += LONGER_THAN_A_JOIN_MILLIS;
		this.instances.advance(this.head);
		this.instances.advance(this.follower);
	}

	private NumberedOrder number(ReplicaOrder order) {
		return new NumberedOrder(order, this.tokens.next(TERM, order));
	}

	private OrderOutcome execute(ReplicaOrder order) {
		return execute(number(order));
	}

	private OrderOutcome execute(NumberedOrder numbered) {
		return this.tokens.interpret(numbered.order().instance().address(), numbered.token(),
				this.instances.execute(numbered.order(), numbered.token()));
	}

	private record NumberedOrder(ReplicaOrder order, long token) {

	}

}
