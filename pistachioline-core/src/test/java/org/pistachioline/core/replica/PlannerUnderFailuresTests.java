package org.pistachioline.core.replica;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class PlannerUnderFailuresTests {

	private static final int SEED_COUNT = 60;

	/**
	 * An instance fails every 1.5 s, some lose their connection to the instance list
	 * while they serve, and the planner changes every few seconds. Guards against taking
	 * a member from a group whose head still runs requests, which loses answers, and
	 * against opening a group without all members, in which requests never complete.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void noMemberIsTakenFromAServingGroupWhileInstancesAndPlannersFail(boolean fleetDecisions) {
		int serving = 0;
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final ReplicaSimulation simulation = new ReplicaSimulation(seed, 6, 0, 0, fleetDecisions);
			simulation.run(60_000, true);
			assertThat(simulation.violations).as("seed " + seed).isEmpty();
			serving += simulation.countServingInstances();
		}
		// More than a quarter of the fleet serves while an instance fails every 1.5 s.
		assertThat(serving / SEED_COUNT).isGreaterThan(15);
	}

	/**
	 * A head loses its connection to the store and to all daemons for most of a minute,
	 * while its members can still reach it, so that it serves and never breaks. Guards
	 * against reassigning its members after any timeout, which loses the requests that it
	 * runs.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void noMemberIsTakenFromAHeadDuringALongPartition(boolean fleetDecisions) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final ReplicaSimulation simulation = new ReplicaSimulation(seed, 6, 0.05, 0.1, fleetDecisions);
			simulation.longPartitions = true;
			simulation.run(90_000, true);
			assertThat(simulation.violations).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Two instances of serving groups fail every 3 s; after 10 s as many empty ones join.
	 * Two survivors find each other sooner than four. Guards against the model with the
	 * larger groups losing its instances to the other one until all of its callers are
	 * refused: it has to keep half of its initial seven groups on average.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void theModelWithTheLargerGroupsKeepsServingWhileInstancesFailInPairs(boolean fleetDecisions) {
		int large = 0;
		int small = 0;
		for (long seed = 1; seed <= 10; seed++) {
			final ReplicaSimulation simulation = new ReplicaSimulation(seed, 6, 0, 0, fleetDecisions);
			simulation.run(16_000, false);
			for (int failure = 0; failure < 10; failure++) {
				simulation.failTwoMembers(failure >= 3);
				simulation.run(3_000, false);
				large += simulation.countServingGroups("large");
				small += simulation.countServingGroups("small");
			}
			assertThat(simulation.violations).as("seed " + seed).isEmpty();
		}
		assertThat(large).isGreaterThanOrEqualTo(100 * 7 / 2);
		assertThat(small).isGreaterThanOrEqualTo(100 * 8);
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void allSurvivorsServeAgainAfterTheFailuresStop(boolean fleetDecisions) {
		final ReplicaSimulation simulation = new ReplicaSimulation(7, 6, 0.1, 0.2, fleetDecisions);
		simulation.run(30_000, true);
		simulation.run(60_000, false);
		assertThat(simulation.countServingInstances()).isGreaterThanOrEqualTo(54);
		assertThat(simulation.violations).isEmpty();
	}

}
