package org.pistachioline.core.replica;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class WeightLoadPacingTests {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private static final long TICK_NANOS = 100_000_000L;

	/** Longer than the passes that use up the loads of a window, and within it. */
	private static final int IDLE_PASSES = 30;

	/**
	 * Guards against empty hosts that wait for seconds although the weight store is idle,
	 * because passes without a load to order have used up the rate.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void aHostThatIsListedAfterIdlePassesLoadsAtOnce(boolean fleetDecisions) {
		final ReplicaPlanner planner = new ReplicaPlanner(new PlannerTimes(6 * SECOND_NANOS, 5 * SECOND_NANOS),
				fleetDecisions);
		planner.beginTerm(0, 1);
		long nowNanos = 10 * SECOND_NANOS;
		for (int pass = 0; pass < IDLE_PASSES; pass++) {
			assertThat(planner.plan(view(nowNanos))).isEmpty();
			nowNanos += TICK_NANOS;
		}
		assertThat(planner.plan(view(nowNanos, empty("a"), empty("b")))).hasSize(2)
			.allMatch((order) -> order instanceof ReplicaOrder.Stage);
	}

	private static PlannerView view(long nowNanos, ServingInstance... instances) {
		return new PlannerView(nowNanos, ReplicaSimulation.ENGINE_SPEC, List.of(instances), List.of(), Set.of(), false);
	}

	private static ServingInstance empty(String id) {
		return new ServingInstance(id, "pool", id + ":1", "zone", "d", false, 12, Set.of(), Optional.empty());
	}

}
