package org.pistachioline.core.replica;

import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load pattern: instances fail every second and a half, and about half of all orders are
 * found unanswered and executed 2 to 12 s later. The system property {@code late.seeds}
 * sets the number of seeds of the harder worlds, {@code late.first} the first one, and
 * {@code late.millis} the length of each run.
 */
class LateOrderTests {

	private static final long FIRST_SEED = Long.getLong("late.first", 1);

	private static final int HARDER_SEEDS = Integer.getInteger("late.seeds", 3);

	private static final long HARDER_MILLIS = Long.getLong("late.millis", 60_000);

	private static final long DAY_MILLIS = 60_000;

	private static final int SEED_COUNT = 30;

	/**
	 * Guards against an instance that is taken from a serving group which late orders of
	 * the same planner have joined and opened again after its end.
	 */
	@ParameterizedTest
	@CsvSource({ "348, 0, 0.5, false, false", "363, 0, 0.5, false, false", "690, 0, 0.5, true, false",
			"259, 0.1, 0.5, false, true", "18, 0.3, 0.3, true, true" })
	void anEndedGroupIsNotRevivedByLateOrders(long seed, double lostRatio, double lateRatio, boolean restarts,
			boolean longPartitions) {
		final ReplicaSimulation simulation = new ReplicaSimulation(seed, 6, lostRatio, lateRatio, true);
		simulation.restartAtSameAddress = restarts;
		simulation.lateOrdersReachRestarted = restarts;
		simulation.longPartitions = longPartitions;
		simulation.run(DAY_MILLIS, true);
		assertThat(simulation.violations).isEmpty();
	}

	/**
	 * Guards against late orders that take effect where instances restart, the lease
	 * lapses and the list stands still, with half of all orders late.
	 */
	@Test
	void noServingGroupLosesAMemberWhileHalfOfTheOrdersAreLate() {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final ReplicaSimulation simulation = new ReplicaSimulation(seed, 6, 0.05, 0.5, true);
			simulation.restartAtSameAddress = seed % 2 == 0;
			simulation.lateOrdersReachRestarted = seed % 2 == 0;
			simulation.longPartitions = seed % 3 == 0;
			simulation.leaseLapses = true;
			simulation.storeOutages = seed % 5 == 0;
			simulation.run(DAY_MILLIS, true);
			assertThat(simulation.violations).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against late orders that take effect where the planner cannot see it, or at
	 * an instance that has restarted meanwhile.
	 */
	@ParameterizedTest
	@EnumSource
	void noServingGroupLosesAMemberInAHarderWorld(LateOrderWorld world) {
		final List<String> violations = LongStream.range(FIRST_SEED, FIRST_SEED + HARDER_SEEDS)
			.parallel()
			.boxed()
			.flatMap((seed) -> violations(world, seed, OrderFencing.ENFORCED))
			.toList();
		assertThat(violations).isEmpty();
	}

	/**
	 * Guards against instances that late orders of a former planner take or bring back
	 * where no instance refuses them.
	 */
	@ParameterizedTest
	@CsvSource({ "50207, true", "50218, true", "50260, true", "50218, false" })
	void noServingGroupLosesAMemberWhereTokensAreIgnored(long seed, boolean fleetDecisions) {
		assertThat(violationsWithIgnoredTokens(seed, fleetDecisions).toList()).isEmpty();
	}

	/**
	 * Guards against late orders that take effect where no instance refuses them, on
	 * further days.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void noServingGroupLosesAMemberOnFurtherDaysWhereTokensAreIgnored(boolean fleetDecisions) {
		final List<String> violations = LongStream.range(FIRST_SEED, FIRST_SEED + HARDER_SEEDS)
			.parallel()
			.boxed()
			.flatMap((seed) -> violationsWithIgnoredTokens(seed, fleetDecisions))
			.toList();
		assertThat(violations).isEmpty();
	}

	private static Stream<String> violationsWithIgnoredTokens(long seed, boolean fleetDecisions) {
		final ReplicaSimulation simulation = new ReplicaSimulation(seed, 6, 0, 0.5, fleetDecisions,
				OrderFencing.IGNORED);
		simulation.run(HARDER_MILLIS, true);
		return simulation.violations.stream().map((violation) -> "seed " + seed + ", " + violation);
	}

	/**
	 * Guards against late orders that take effect in a harder world where no instance
	 * refuses them.
	 */
	@ParameterizedTest
	@EnumSource
	void noServingGroupLosesAMemberInAHarderWorldWhereTokensAreIgnored(LateOrderWorld world) {
		final List<String> violations = LongStream.range(FIRST_SEED, FIRST_SEED + HARDER_SEEDS)
			.parallel()
			.boxed()
			.flatMap((seed) -> violations(world, seed, OrderFencing.IGNORED))
			.toList();
		assertThat(violations).isEmpty();
	}

	private static Stream<String> violations(LateOrderWorld world, long seed, OrderFencing fencing) {
		final ReplicaSimulation simulation = new ReplicaSimulation(seed, 6, 0.05, 0.5, true, fencing);
		world.applyTo(simulation);
		simulation.run(HARDER_MILLIS, true);
		return simulation.violations.stream().map((violation) -> "seed " + seed + ", " + violation);
	}

}
