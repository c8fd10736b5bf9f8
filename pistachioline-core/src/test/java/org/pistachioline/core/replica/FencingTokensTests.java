package org.pistachioline.core.replica;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FencingTokensTests {

	private static final String ADDRESS = "host:1";

	private static final int HIGHEST_COUNT = (1 << 20) - 1;

	private final FencingTokens tokens = new FencingTokens();

	// Guards against an order that undoes a newer one of the same planner.
	@Test
	void eachOrderToAnAddressCarriesAHigherToken() {
		final long first = this.tokens.next(3, ADDRESS);
		assertThat(this.tokens.next(3, ADDRESS)).isGreaterThan(first);
		assertThat(this.tokens.next(3, "host:2")).isEqualTo(first);
	}

	// Guards against a planner whose many orders fence those of its successor.
	@Test
	void theTokensOfATermStayBelowThoseOfTheNextOne() {
		long last = 0;
		for (int i = 0; i < HIGHEST_COUNT + 2; i++) {
			last = this.tokens.next(3, ADDRESS);
		}
		assertThat(FencingTokens.termOf(last)).isEqualTo(3);
		assertThat(this.tokens.next(4, ADDRESS)).isGreaterThan(last);
	}

	// Guards against a planner that stops because its own orders have overtaken each
	// other.
	@Test
	void anOrderThatANewerOneHasOvertakenIsSuperseded() {
		final long older = this.tokens.next(3, ADDRESS);
		final long newer = this.tokens.next(3, ADDRESS);
		assertThat(this.tokens.interpret(ADDRESS, older, OrderOutcome.FENCED)).isEqualTo(OrderOutcome.SUPERSEDED);
		assertThat(this.tokens.interpret(ADDRESS, newer, OrderOutcome.FENCED)).isEqualTo(OrderOutcome.FENCED);
		assertThat(this.tokens.interpret(ADDRESS, older, OrderOutcome.STARTED)).isEqualTo(OrderOutcome.STARTED);
	}

}
