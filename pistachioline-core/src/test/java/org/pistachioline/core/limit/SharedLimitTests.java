package org.pistachioline.core.limit;

import java.util.OptionalDouble;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.pistachioline.core.traffic.TargetKind;

import static org.assertj.core.api.Assertions.assertThat;

class SharedLimitTests {

	private static final int SEED_COUNT = 5;

	/**
	 * Guards against daemons that send a target more than it takes from all of them
	 * together, since each keeps to no limit or to the whole of it.
	 */
	@ParameterizedTest
	@CsvSource({ "8, 1", "8, 1.1", "8, 0.3", "8, 4.5", "1, 1", "3, 2", "40, 1", "95, 1", "95, 0.5" })
	void allDaemonsTogetherStayWithinTheLimitOfATarget(int daemons, double requestsPerSecond) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation world = new LimitSimulation(seed, daemons, 23, TargetKind.MODEL);
			world.sendRequests(23 * 6);
			world.run(4);
			world.setLimit(0, OptionalDouble.of(requestsPerSecond));
			world.setLimit(1, OptionalDouble.of(requestsPerSecond));
			world.run(40);
			assertThat(world.violations).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against daemons that keep to a limit only as long as they hear each other.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 8, 40 })
	void theLimitHoldsAmongDaemonsThatExchangeNoLimits(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation world = new LimitSimulation(seed, daemons, 23, TargetKind.MODEL);
			world.gossipEnabled = false;
			world.sendRequests(23 * 6);
			world.run(4);
			world.setLimit(0, OptionalDouble.of(1));
			world.run(40);
			assertThat(world.violations).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against a target that is well again and is left alone by all who send
	 * nothing there, and so hear nothing from it.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 40 })
	void theEndOfALimitSoonReachesAllDaemons(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation world = new LimitSimulation(seed, daemons, 6, TargetKind.MODEL);
			world.sendRequests(6 * 8);
			world.run(4);
			world.setLimit(0, OptionalDouble.of(1));
			world.run(10);
			world.setLimit(0, OptionalDouble.empty());
			world.run(6);
			final int before = world.instance(0).receivedRequests;
			world.run(10);
			assertThat(world.instance(0).receivedRequests - before).as("seed " + seed).isGreaterThan(40);
			assertThat(world.daemons()).as("seed " + seed)
				.allMatch((daemon) -> daemon.core().targetLimits().reports(world.nowNanos()).isEmpty());
		}
	}

	/**
	 * Guards against a limit that is kept by sending next to nothing.
	 */
	@ParameterizedTest
	@CsvSource({ "8, 1", "8, 4.5", "1, 2", "95, 1" })
	void mostOfTheLimitOfATargetIsUsed(int daemons, double requestsPerSecond) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation world = new LimitSimulation(seed, daemons, 23, TargetKind.MODEL);
			world.sendRequests(23 * 12);
			world.run(4);
			world.setLimit(0, OptionalDouble.of(requestsPerSecond));
			world.run(10);
			final int before = world.instance(0).receivedRequests;
			world.run(40);
			assertThat(world.instance(0).receivedRequests - before).as("seed " + seed)
				.isGreaterThan((int) (0.5 * 40 * requestsPerSecond));
		}
	}

	/**
	 * Guards against callers who wait until their time is up for a service whose only
	 * targets take far less than is asked of them.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 40 })
	void callersOfAServiceWithLowLimitsAreRejectedAtOnce(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation world = new LimitSimulation(seed, daemons, 3, TargetKind.SERVICE);
			world.sendRequests(60);
			world.run(4);
			for (int target = 0; target < 3; target++) {
				world.setLimit(target, OptionalDouble.of(4));
			}
			world.run(20);
			assertThat(world.violations).as("seed " + seed).isEmpty();
			assertThat(world.daemons()).as("seed " + seed).allMatch((daemon) -> daemon.rejectedLate == 0);
			assertThat(world.daemons().stream().mapToInt((daemon) -> daemon.served).sum()).as("seed " + seed)
				.isGreaterThan(4 * 50 + 20 * 6);
		}
	}

	/**
	 * Guards against permits that are used twice while daemons come and go.
	 */
	@Test
	void theLimitHoldsDuringARollingRestart() {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation world = new LimitSimulation(seed, 8, 23, TargetKind.MODEL);
			world.sendRequests(23 * 6);
			world.run(4);
			world.setLimit(0, OptionalDouble.of(1));
			world.setLimit(1, OptionalDouble.of(5));
			for (int turn = 0; turn < 24; turn++) {
				final LimitSimulationDaemon daemon = world.daemon(turn % 8);
				daemon.stop();
				world.run(1);
				daemon.start();
				world.run(1);
			}
			assertThat(world.violations).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against a limit that is forgotten when the group of its head is formed anew.
	 */
	@Test
	void theLimitAppliesToTheInstanceAcrossItsGroups() {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation world = new LimitSimulation(seed, 8, 6, TargetKind.MODEL);
			world.sendRequests(6 * 6);
			world.run(4);
			world.setLimit(0, OptionalDouble.of(1));
			for (int turn = 0; turn < 10; turn++) {
				world.run(2);
				world.reformGroup(0);
			}
			assertThat(world.violations).as("seed " + seed).isEmpty();
		}
	}

}
