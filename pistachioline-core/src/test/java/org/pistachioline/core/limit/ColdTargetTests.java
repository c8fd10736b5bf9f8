package org.pistachioline.core.limit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.pistachioline.core.traffic.TargetKind;

import static org.assertj.core.api.Assertions.assertThat;

class ColdTargetTests {

	private static final int TARGETS = 6;

	private static final double DEMAND_RATIO = 3;

	/** Twice the rate of a permit, so that each permit has callers. */
	private static final double MIN_DEMAND_PER_DAEMON = 2;

	private static int seedCount(int daemons) {
		return (daemons < 50) ? 2 : 1;
	}

	private static LimitSimulation world(long seed, int daemons, double coldPerSecond) {
		final LimitSimulation simulation = new LimitSimulation(seed, daemons, TARGETS, TargetKind.MODEL);
		simulation.coldPerSecond = coldPerSecond;
		simulation.maxDiscoveryNanos = 2 * LimitSimulation.SECOND_NANOS;
		simulation.daemons().forEach(LimitSimulationDaemon::declareColdStart);
		simulation.sendRequests(Math.max(DEMAND_RATIO * TARGETS * coldPerSecond, MIN_DEMAND_PER_DAEMON * daemons));
		simulation.run(8);
		return simulation;
	}

	private static void assertKept(LimitSimulation simulation, double coldPerSecond, String description) {
		for (int target = 0; target < TARGETS; target++) {
			assertThat(simulation.instance(target).maxColdPerSecond).as(description + ", target " + target)
				.isLessThanOrEqualTo((int) Math.max(1, coldPerSecond));
		}
	}

	private static double usedRatio(LimitSimulation simulation, double allowedPerTarget) {
		int sent = 0;
		for (int target = 0; target < TARGETS; target++) {
			sent += simulation.instance(target).coldSentNanos.size();
		}
		return sent / (allowedPerTarget * TARGETS);
	}

	/**
	 * Guards against daemons that each apply the whole rate of a cold target, and against
	 * shares that nobody uses. Load: steady arrivals at three times the rate of all
	 * targets, which start cold together.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 17", "2, 17", "3, 4", "8, 17", "78, 17", "130, 17", "130, 3" })
	void targetsThatStartColdGetTheirRateAndNoMoreFromAllDaemonsTogether(int daemons, double coldPerSecond) {
		for (long seed = 1; seed <= seedCount(daemons); seed++) {
			final LimitSimulation simulation = world(seed, daemons, coldPerSecond);
			simulation.startAllCold(10);
			simulation.run(10);
			assertKept(simulation, coldPerSecond, "seed " + seed);
			assertThat(usedRatio(simulation, 10 * coldPerSecond)).as("seed " + seed).isGreaterThanOrEqualTo(0.8);
		}
	}

	/**
	 * Guards against a target that turns cold under load and is told of by one daemon
	 * only. Load: steady arrivals at three times the rate of cold targets.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 8, 130 })
	void aTargetThatTurnsColdIsPacedByAllAsSoonAsOneDaemonTells(int daemons) {
		for (long seed = 1; seed <= seedCount(daemons); seed++) {
			final LimitSimulation simulation = world(seed, daemons, 17);
			for (int round = 0; round < 3; round++) {
				simulation.setCold(0, 3);
				simulation.daemon(round % daemons).learnCold(0, true);
				simulation.run(4);
				assertKept(simulation, 17, "seed " + seed + ", round " + round);
			}
		}
	}

	/**
	 * Guards against permits that two daemons use when a daemon restarts, leaves for good
	 * or joins with a new id. Load: steady arrivals at three times the rate of cold
	 * targets; a restart and a join in turn, a second apart.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 2, 8, 78 })
	void theRateIsKeptWhileDaemonsRestartAndJoin(int daemons) {
		for (long seed = 1; seed <= seedCount(daemons); seed++) {
			final LimitSimulation simulation = world(seed, daemons, 17);
			simulation.startAllCold(30);
			for (int round = 0; round < 10; round++) {
				final LimitSimulationDaemon daemon = simulation.daemon(round % daemons);
				daemon.stop();
				simulation.run(1);
				daemon.start();
				simulation.join();
				simulation.run(1);
			}
			assertKept(simulation, 17, "seed " + seed);
		}
	}

	/**
	 * Guards against the two parts of a cut fleet that each use the whole rate because
	 * they count the others as dead. Load: steady arrivals on both sides at three times
	 * the rate of cold targets.
	 */
	@ParameterizedTest
	@CsvSource({ "2, 1", "8, 1", "78, 39", "130, 20" })
	void theRateIsKeptOverBothPartsOfACutFleet(int daemons, int firstPartSize) {
		for (long seed = 1; seed <= seedCount(daemons); seed++) {
			final LimitSimulation simulation = world(seed, daemons, 17);
			simulation.startAllCold(30);
			simulation.run(2);
			simulation.cut(firstPartSize);
			simulation.run(15);
			simulation.cut(0);
			simulation.run(5);
			assertKept(simulation, 17, "seed " + seed);
		}
	}

	/**
	 * Guards against a daemon that restarts inside a cut, meets nobody and takes itself
	 * for the only one.
	 */
	@Test
	void aDaemonThatRestartsAndMeetsNobodySendsColdTargetsNothing() {
		final LimitSimulation simulation = world(1, 8, 17);
		simulation.startAllCold(30);
		simulation.cut(1);
		simulation.daemon(0).stop();
		simulation.run(4);
		simulation.daemon(0).start();
		for (int target = 0; target < TARGETS; target++) {
			simulation.daemon(0).learnCold(target, false);
		}
		final int servedBefore = simulation.daemon(0).served;
		simulation.run(10);
		assertKept(simulation, 17, "cut");
		assertThat(simulation.daemon(0).served).isEqualTo(servedBefore);
	}

	/**
	 * Guards against callers that wait until their deadline for targets that are all
	 * cold.
	 */
	@Test
	void callersWhoseTargetsAreAllColdAreRefusedInTime() {
		final LimitSimulation simulation = world(1, 40, 3);
		simulation.startAllCold(30);
		// Requests that waited before the targets turned cold are refused by then.
		simulation.run(1);
		simulation.daemons().forEach((daemon) -> daemon.rejectedLate = 0);
		simulation.run(24);
		assertThat(simulation.daemons()).allMatch((daemon) -> daemon.rejectedLate == 0);
		assertThat(simulation.daemons().stream().mapToInt((daemon) -> daemon.rejected).sum()).isPositive();
	}

	/**
	 * Guards against a change for targets of services that declare no cold start, or that
	 * say nothing.
	 */
	@Test
	void aTargetWhoseServiceDeclaresNoRateIsTreatedAsBefore() {
		final LimitSimulation with = new LimitSimulation(5, 8, TARGETS, TargetKind.MODEL);
		final LimitSimulation without = new LimitSimulation(5, 8, TARGETS, TargetKind.MODEL);
		with.sendRequests(60);
		without.sendRequests(60);
		with.run(4);
		without.run(4);
		with.setCold(0, 20);
		with.daemon(0).learnCold(0, true);
		with.run(20);
		without.run(20);
		assertThat(with.instance(0).receivedRequests).isEqualTo(without.instance(0).receivedRequests);
	}

}
