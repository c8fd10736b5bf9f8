package org.pistachioline.core.stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AppendBudgetTests {

	private static final long TICK_NANOS = 20_000_000;

	// Guards against an overloaded log. If each of 370 daemons appended as fast as it
	// can, the log would refuse most appends, including the planner's records.
	@Test
	void underOverloadAllDaemonsTogetherStayWithinTheLogsLimit() {
		final int daemonCount = 370;
		final AppendBudget budget = new AppendBudget(300, 8, 0);
		int acquired = 0;
		final int ticks = 50 * 60;
		for (int tick = 0; tick < ticks; tick++) {
			acquired += budget.tryAcquire(daemonCount, tick * TICK_NANOS) ? 1 : 0;
		}
		final int sharePerMinute = 300 * 60 / daemonCount;
		assertThat(acquired).isBetween(sharePerMinute, sharePerMinute + 8);
	}

	@Test
	void anIdleDaemonAppendsItsFirstRecordsAtOnce() {
		final AppendBudget budget = new AppendBudget(300, 8, 0);
		for (int i = 0; i < 8; i++) {
			assertThat(budget.tryAcquire(370, 0)).isTrue();
		}
		assertThat(budget.tryAcquire(370, 0)).isFalse();
	}

}
