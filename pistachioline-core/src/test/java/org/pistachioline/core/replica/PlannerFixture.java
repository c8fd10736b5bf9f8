package org.pistachioline.core.replica;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Builds a planner, the instances of one domain and the views that it plans with.
 */
final class PlannerFixture {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private PlannerFixture() {
	}

	static ReplicaPlanner planner() {
		return new ReplicaPlanner(new PlannerTimes(6 * SECOND_NANOS, 5 * SECOND_NANOS), false);
	}

	/** Plans, expects exactly one order, and reports its outcome. */
	static void planAndAnswer(ReplicaPlanner planner, long nowNanos, ReplicaOrder expected, OrderOutcome outcome,
			ServingInstance... instances) {
		assertThat(planner.plan(view(nowNanos, instances))).containsExactly(expected);
		planner.onOutcome(expected, outcome);
	}

	static PlannerView view(long nowNanos, ServingInstance... instances) {
		return new PlannerView(nowNanos, ReplicaSimulation.ENGINE_SPEC, List.of(instances), List.of(), Set.of(), false);
	}

	static ServingInstance member(String id, GroupId group, int rank, MemberState state) {
		return new ServingInstance(id, "pool", id + ":1", "zone", "d", false, 12, Set.of("small"),
				Optional.of(new Membership(group, rank, state)));
	}

	static ServingInstance free(String id, String... staged) {
		return new ServingInstance(id, "pool", id + ":1", "zone", "d", false, 12, Set.of(staged), Optional.empty());
	}

}
