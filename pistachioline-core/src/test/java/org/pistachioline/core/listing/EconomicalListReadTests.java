package org.pistachioline.core.listing;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A fleet in which one daemon reads the instance list for all others and for the planner.
 * Every daemon must learn of a change within the time in which a draining instance must
 * get no more requests, as where two daemons and the planner read.
 */
class EconomicalListReadTests {

	private static final int INSTANCES = 200;

	private static final int CHANGES_PER_SECOND = 20;

	/** Two seconds, of which 100 ms are reserved for acting on the list. */
	private static final long MAX_LAG_MILLIS = 1_900;

	private static final int PLANNER = 7;

	private static ListingSimulation simulation(int daemonCount, long seed) {
		final ListingSimulation simulation = new ListingSimulation(daemonCount, INSTANCES, seed,
				ListReadPolicy.ECONOMICAL);
		simulation.planner = PLANNER;
		simulation.changeInstances(CHANGES_PER_SECOND, INSTANCES);
		simulation.run(3_000);
		simulation.takeStoreCalls();
		return simulation;
	}

	private static void runAndCheck(ListingSimulation simulation, long durationMillis) {
		for (long elapsedMillis = 0; elapsedMillis < durationMillis; elapsedMillis += 100) {
			simulation.run(100);
			assertThat(simulation.maxLagMillis()).as("the latest daemon").isLessThanOrEqualTo(MAX_LAG_MILLIS);
			assertThat(simulation.daemonsWithWrongList()).isEmpty();
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 18, 78, 130, 370 })
	void fiveCallsASecondAreEnoughAtAnySize(int daemonCount) {
		final ListingSimulation simulation = simulation(daemonCount, daemonCount);
		runAndCheck(simulation, 10_000);
		assertThat(simulation.takeStoreCalls()).as("calls in ten seconds").isLessThanOrEqualTo(52);
	}

	/** Guards against lists that become outdated because the only reader is lost. */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void aKilledReaderIsReplacedInTime(long seed) {
		final ListingSimulation simulation = simulation(78, seed);
		simulation.readers().forEach(simulation::kill);
		runAndCheck(simulation, 8_000);
		assertThat(simulation.takeStoreCalls()).as("calls in eight seconds").isLessThanOrEqualTo(8 * 25);
	}

	/** Guards against relying on a reader that the store refuses or that stands still. */
	@ParameterizedTest
	@ValueSource(longs = { 11, 12, 13, 14, 15 })
	void aReaderWithoutTheStoreAndAPausedOneAreReplacedInTime(long seed) {
		final ListingSimulation simulation = simulation(78, seed);
		simulation.refuseReaders();
		runAndCheck(simulation, 5_000);
		final List<Integer> readers = simulation.readers();
		readers.forEach((reader) -> simulation.pause(reader, 4_000));
		runAndCheck(simulation, 3_900);
	}

}
