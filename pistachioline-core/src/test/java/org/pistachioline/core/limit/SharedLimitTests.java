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
	 * Guards against daemons that together exceed a target's limit, because each ignores
	 * it or applies the whole of it to itself.
	 */
	@ParameterizedTest
	@CsvSource({ "8, 1", "8, 1.1", "8, 0.3", "8, 4.5", "1, 1", "3, 2", "40, 1", "95, 1", "95, 0.5" })
	void allDaemonsTogetherStayWithinTheLimitOfATarget(int daemons, double requestsPerSecond) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation simulation = new LimitSimulation(seed, daemons, 23, TargetKind.MODEL);
			simulation.sendRequests(23 * 6);
			simulation.run(4);
			simulation.setLimit(0, OptionalDouble.of(requestsPerSecond));
			simulation.setLimit(1, OptionalDouble.of(requestsPerSecond));
			simulation.run(40);
			assertThat(simulation.violations).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against a limit that is exceeded when daemons cannot exchange limits.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 8, 40 })
	void theLimitHoldsAmongDaemonsThatExchangeNoLimits(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation simulation = new LimitSimulation(seed, daemons, 23, TargetKind.MODEL);
			simulation.gossipEnabled = false;
			simulation.sendRequests(23 * 6);
			simulation.run(4);
			simulation.setLimit(0, OptionalDouble.of(1));
			simulation.run(40);
			assertThat(simulation.violations).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against a recovered target that stays unused, because daemons that send it
	 * nothing receive no response that ends the limit.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 40 })
	void theEndOfALimitSoonReachesAllDaemons(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation simulation = new LimitSimulation(seed, daemons, 6, TargetKind.MODEL);
			simulation.sendRequests(6 * 8);
			simulation.run(4);
			simulation.setLimit(0, OptionalDouble.of(1));
			simulation.run(10);
			simulation.setLimit(0, OptionalDouble.empty());
			simulation.run(6);
			final int before = simulation.instance(0).receivedRequests;
			simulation.run(10);
			assertThat(simulation.instance(0).receivedRequests - before).as("seed " + seed).isGreaterThan(40);
			assertThat(simulation.daemons()).as("seed " + seed)
				.allMatch((daemon) -> daemon.core().targetLimits().reports(simulation.nowNanos()).isEmpty());
		}
	}

	/**
	 * Guards against daemons that stay within a limit by sending almost nothing.
	 */
	@ParameterizedTest
	@CsvSource({ "8, 1", "8, 4.5", "1, 2", "95, 1" })
	void mostOfTheLimitOfATargetIsUsed(int daemons, double requestsPerSecond) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation simulation = new LimitSimulation(seed, daemons, 23, TargetKind.MODEL);
			simulation.sendRequests(23 * 12);
			simulation.run(4);
			simulation.setLimit(0, OptionalDouble.of(requestsPerSecond));
			simulation.run(10);
			final int before = simulation.instance(0).receivedRequests;
			simulation.run(40);
			assertThat(simulation.instance(0).receivedRequests - before).as("seed " + seed)
				.isGreaterThan((int) (0.5 * 40 * requestsPerSecond));
		}
	}

	/**
	 * Guards against callers that wait until their deadline for a service whose targets'
	 * limits are far below its load.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 40 })
	void callersOfAServiceWithLowLimitsAreRejectedAtOnce(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation simulation = new LimitSimulation(seed, daemons, 3, TargetKind.SERVICE);
			simulation.sendRequests(60);
			simulation.run(4);
			for (int target = 0; target < 3; target++) {
				simulation.setLimit(target, OptionalDouble.of(4));
			}
			simulation.run(20);
			assertThat(simulation.violations).as("seed " + seed).isEmpty();
			assertThat(simulation.daemons()).as("seed " + seed).allMatch((daemon) -> daemon.rejectedLate == 0);
			assertThat(simulation.daemons().stream().mapToInt((daemon) -> daemon.served).sum()).as("seed " + seed)
				.isGreaterThan(4 * 50 + 20 * 6);
		}
	}

	/**
	 * Guards against permits that are used twice while daemons join and leave.
	 */
	@Test
	void theLimitHoldsDuringARollingRestart() {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation simulation = new LimitSimulation(seed, 8, 23, TargetKind.MODEL);
			simulation.sendRequests(23 * 6);
			simulation.run(4);
			simulation.setLimit(0, OptionalDouble.of(1));
			simulation.setLimit(1, OptionalDouble.of(5));
			for (int round = 0; round < 24; round++) {
				final LimitSimulationDaemon daemon = simulation.daemon(round % 8);
				daemon.stop();
				simulation.run(1);
				daemon.start();
				simulation.run(1);
			}
			assertThat(simulation.violations).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against a limit that is lost when the group of its head is dissolved and
	 * formed again.
	 */
	@Test
	void theLimitAppliesToTheInstanceAcrossItsGroups() {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation simulation = new LimitSimulation(seed, 8, 6, TargetKind.MODEL);
			simulation.sendRequests(6 * 6);
			simulation.run(4);
			simulation.setLimit(0, OptionalDouble.of(1));
			for (int round = 0; round < 10; round++) {
				simulation.run(2);
				simulation.reformGroup(0);
			}
			assertThat(simulation.violations).as("seed " + seed).isEmpty();
		}
	}

}
