package org.pistachioline.core.limit;

import java.util.OptionalDouble;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.pistachioline.core.traffic.TargetKind;

import static org.assertj.core.api.Assertions.assertThat;

class SharedLimitTests {

	private static final int SEEDS = 5;

	/**
	 * Guards against daemons that send a target more than it takes from all of them
	 * together, since each keeps to no limit or to the whole of it.
	 */
	@ParameterizedTest
	@CsvSource({ "8, 1", "8, 1.1", "8, 0.3", "8, 4.5", "1, 1", "3, 2", "40, 1", "95, 1", "95, 0.5" })
	@Tag("known-red")
	void aTargetGetsNoMoreThanItTakesFromAllDaemonsTogether(int daemons, double requestsPerSecond) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			final LimitWorld world = new LimitWorld(seed, daemons, 23, TargetKind.MODEL);
			world.traffic(23 * 6);
			world.run(4);
			world.limit(0, OptionalDouble.of(requestsPerSecond));
			world.limit(1, OptionalDouble.of(requestsPerSecond));
			world.run(40);
			assertThat(world.violations).as("seed " + seed).isEmpty();
		}
	}

}
