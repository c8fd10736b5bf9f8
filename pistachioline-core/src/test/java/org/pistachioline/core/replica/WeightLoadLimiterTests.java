package org.pistachioline.core.replica;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.EngineSpec;

import static org.assertj.core.api.Assertions.assertThat;

class WeightLoadLimiterTests {

	private static final long SECOND_NANOS = 1_000_000_000L;

	/** Five loads a second, seven at once; twenty in five seconds are used. */
	private static final EngineSpec ENGINE_SPEC = ReplicaSimulation.ENGINE_SPEC;

	private final WeightLoadLimiter limiter = new WeightLoadLimiter(5 * SECOND_NANOS);

	/**
	 * The planning daemon dies every few seconds, and empty hosts wait for weights. Were
	 * each planner to wait for a window first, nobody would load, and callers would be
	 * refused beside idle instances.
	 */
	@Test
	void aNewPlannerStartsLoadsAtOnceButNotAWholeWindowOfThem() {
		this.limiter.takeOver(SECOND_NANOS);
		assertThat(startLoadsUntilRefused(SECOND_NANOS)).isEqualTo(20 - 7);
		assertThat(startLoadsUntilRefused(5 * SECOND_NANOS)).isZero();
		assertThat(startLoadsUntilRefused(6 * SECOND_NANOS + 1)).isEqualTo(20);
	}

	/**
	 * Three daemons plan within one window, each with seven loads at once. All together
	 * must stay under the rate that the weight store stands.
	 */
	@Test
	void successivePlannersStayWithinTheRateTogether() {
		int begun = 0;
		for (int planner = 0; planner < 3; planner++) {
			final WeightLoadLimiter own = new WeightLoadLimiter(5 * SECOND_NANOS);
			own.takeOver(planner * SECOND_NANOS);
			for (int load = 0; load < ENGINE_SPEC.concurrentLoads(); load++) {
				begun += own.tryStart(planner * SECOND_NANOS + SECOND_NANOS / 2, 1, ENGINE_SPEC) ? 1 : 0;
			}
		}
		assertThat(begun).isLessThanOrEqualTo(5 * 5);
	}

	@Test
	void withShortLoadsThePreviousPlannerMayHaveUsedTheWholeWindow() {
		final EngineSpec quick = new EngineSpec(12, List.of(new EngineModel("m", 2, 1, 1, 1_000, 100)), 5, 7, 300);
		this.limiter.takeOver(0);
		assertThat(this.limiter.tryStart(SECOND_NANOS, 1, quick)).isFalse();
		assertThat(this.limiter.tryStart(5 * SECOND_NANOS + 1, 1, quick)).isTrue();
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
