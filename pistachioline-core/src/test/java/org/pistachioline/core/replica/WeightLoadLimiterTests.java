package org.pistachioline.core.replica;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.EngineSpec;

import static org.assertj.core.api.Assertions.assertThat;

class WeightLoadLimiterTests {

	private static final long SECOND_NANOS = 1_000_000_000L;

	/** Allows 5 loads per second and 7 at once, of which 20 loads in 5 s are used. */
	private static final EngineSpec ENGINE_SPEC = ReplicaSimulation.ENGINE_SPEC;

	private final WeightLoadLimiter limiter = new WeightLoadLimiter(5 * SECOND_NANOS);

	/**
	 * The planner fails every few seconds while empty hosts wait for weights. Guards
	 * against each new planner waiting for a whole window first: no load would start, and
	 * callers would be refused although instances are idle.
	 */
	@Test
	void aNewPlannerStartsLoadsAtOnceButNotAWholeWindowOfThem() {
		this.limiter.takeOver(SECOND_NANOS);
		assertThat(startLoadsUntilRefused(SECOND_NANOS)).isEqualTo(20 - 7);
		assertThat(startLoadsUntilRefused(5 * SECOND_NANOS)).isZero();
		assertThat(startLoadsUntilRefused(6 * SECOND_NANOS + 1)).isEqualTo(20);
	}

	/**
	 * Guards against a planner whose term changes every second and that starts a window's
	 * loads in each of them, so that all loads take longer.
	 */
	@Test
	void aPlannerThatTakesOverFromItselfStillCountsItsOwnLoads() {
		int startedLoads = 0;
		for (int term = 0; term < 4; term++) {
			this.limiter.takeOver(term * SECOND_NANOS);
			startedLoads += startLoadsUntilRefused(term * SECOND_NANOS);
		}
		assertThat(startedLoads).isLessThanOrEqualTo(20);
	}

	/**
	 * Three daemons plan within one window, each with seven loads at once. Guards against
	 * the sum of their loads exceeding the rate of the weight store.
	 */
	@Test
	void successivePlannersStayWithinTheRateTogether() {
		int startedLoads = 0;
		for (int planner = 0; planner < 3; planner++) {
			final WeightLoadLimiter limiterOfPlanner = new WeightLoadLimiter(5 * SECOND_NANOS);
			limiterOfPlanner.takeOver(planner * SECOND_NANOS);
			for (int load = 0; load < ENGINE_SPEC.concurrentLoads(); load++) {
				startedLoads += limiterOfPlanner.tryStart(planner * SECOND_NANOS + SECOND_NANOS / 2, 1, ENGINE_SPEC) ? 1
						: 0;
			}
		}
		assertThat(startedLoads).isLessThanOrEqualTo(5 * 5);
	}

	@Test
	void withShortLoadsThePreviousPlannerMayHaveUsedTheWholeWindow() {
		final EngineSpec shortLoads = new EngineSpec(12, List.of(new EngineModel("m", 2, 1, 1, 1_000, 100)), 5, 7, 300);
		this.limiter.takeOver(0);
		assertThat(this.limiter.tryStart(SECOND_NANOS, 1, shortLoads)).isFalse();
		assertThat(this.limiter.tryStart(5 * SECOND_NANOS + 1, 1, shortLoads)).isTrue();
	}

	@Test
	void beforeTrafficNoLoadsOfAPreviousPlannerAreAssumed() {
		this.limiter.takeOver(0);
		this.limiter.ignorePreviousPlanner();
		assertThat(startLoadsUntilRefused(SECOND_NANOS)).isEqualTo(20);
	}

	private int startLoadsUntilRefused(long nowNanos) {
		int loads = 0;
		while (this.limiter.tryStart(nowNanos, 1, ENGINE_SPEC)) {
			loads++;
		}
		return loads;
	}

}
