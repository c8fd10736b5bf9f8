package org.pistachioline.core.stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AppendBudgetTests {

	private static final long TICK_NANOS = 20_000_000;

	// A storm makes all of 370 daemons append as fast as they can. If each took what it
	// likes, the log would refuse most, the planner's records among them.
	@Test
	void inAStormAllDaemonsTogetherStayWithinTheLogsLimit() {
		final int daemons = 370;
		final AppendBudget budget = new AppendBudget(300, 8, 0);
		int taken = 0;
		final int ticks = 50 * 60;
		for (int tick = 0; tick < ticks; tick++) {
			taken += budget.tryAcquire(daemons, tick * TICK_NANOS) ? 1 : 0;
		}
		final int shareOfAMinute = 300 * 60 / daemons;
		assertThat(taken).isBetween(shareOfAMinute, shareOfAMinute + 8);
	}

	@Test
	void aQuietDaemonsFirstRecordsGoAtOnce() {
		final AppendBudget budget = new AppendBudget(300, 8, 0);
		for (int i = 0; i < 8; i++) {
			assertThat(budget.tryAcquire(370, 0)).isTrue();
		}
		assertThat(budget.tryAcquire(370, 0)).isFalse();
	}

}
