package org.pistachioline.core.replica;

import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FencingTokensTests {

	private static final int HIGHEST_COUNT = (1 << 20) - 1;

	private static final GroupId GROUP = GroupId.of("m", 1);

	private final FencingTokens tokens = new FencingTokens();

	private final ReplicaOrder order = new ReplicaOrder.Open(instance("a"), GROUP);

	// Guards against an order that undoes a newer one of the same planner.
	@Test
	void eachOrderToAnAddressCarriesAHigherToken() {
		final long first = this.tokens.next(3, this.order);
		assertThat(this.tokens.next(3, this.order)).isGreaterThan(first);
		assertThat(this.tokens.next(3, new ReplicaOrder.Open(instance("b"), GROUP))).isEqualTo(first);
	}

	// Guards against a join that is rejected because an order to stage weights, sent
	// beside it, has arrived first.
	@Test
	void anOrderToStageCarriesTheTokenOfTheOrderBeforeIt() {
		final ReplicaOrder stage = new ReplicaOrder.Stage(instance("a"), "m");
		final long beforeAll = this.tokens.next(3, stage);
		final long first = this.tokens.next(3, this.order);
		assertThat(beforeAll).isLessThan(first);
		assertThat(this.tokens.next(3, stage)).isEqualTo(first);
		assertThat(this.tokens.next(4, stage)).isGreaterThan(first);
	}

	// Guards against a planner whose many orders fence those of its successor.
	@Test
	void theTokensOfATermStayBelowThoseOfTheNextOne() {
		long last = 0;
		for (int i = 0; i < HIGHEST_COUNT + 2; i++) {
			last = this.tokens.next(3, this.order);
		}
		assertThat(FencingTokens.termOf(last)).isEqualTo(3);
		assertThat(this.tokens.next(4, this.order)).isGreaterThan(last);
	}

	// Guards against a planner that stops because its own orders have overtaken each
	// other.
	@Test
	void anOrderThatANewerOneHasOvertakenIsSuperseded() {
		final long older = this.tokens.next(3, this.order);
		final long newer = this.tokens.next(3, this.order);
		assertThat(interpret(older, OrderOutcome.FENCED)).isEqualTo(OrderOutcome.SUPERSEDED);
		assertThat(interpret(newer, OrderOutcome.FENCED)).isEqualTo(OrderOutcome.FENCED);
		assertThat(interpret(older, OrderOutcome.STARTED)).isEqualTo(OrderOutcome.STARTED);
	}

	private OrderOutcome interpret(long token, OrderOutcome outcome) {
		return this.tokens.interpret(this.order.instance().address(), token, outcome);
	}

	private static ServingInstance instance(String id) {
		return new ServingInstance(id, "pool", id + ":1", "zone", "d", false, 12, Set.of("m"), Optional.empty());
	}

}
