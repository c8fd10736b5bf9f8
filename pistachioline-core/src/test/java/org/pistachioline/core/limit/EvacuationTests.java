package org.pistachioline.core.limit;

import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.pistachioline.core.traffic.TargetKind;

import static org.assertj.core.api.Assertions.assertThat;

class EvacuationTests {

	private static final int TARGETS = 6;

	private static final double DEMAND_PER_SECOND = 24;

	private static final double COLD_PER_SECOND = 4;

	private static LimitSimulation world(int daemons) {
		final LimitSimulation simulation = new LimitSimulation(1, daemons, TARGETS, TargetKind.SERVICE);
		for (int target = 0; target < TARGETS; target++) {
			simulation.instance(target).availabilityZone = (target < TARGETS / 2) ? "z1" : "z2";
		}
		simulation.coldPerSecond = COLD_PER_SECOND;
		simulation.daemons().forEach((daemon) -> {
			daemon.declareColdStart();
			daemon.updateTargets();
		});
		simulation.sendRequests(DEMAND_PER_SECOND);
		simulation.run(8);
		return simulation;
	}

	private static int received(LimitSimulation simulation, String zone) {
		int received = 0;
		for (int target = 0; target < TARGETS; target++) {
			received += simulation.instance(target).availabilityZone.equals(zone)
					? simulation.instance(target).receivedRequests : 0;
		}
		return received;
	}

	private static int served(LimitSimulation simulation) {
		return simulation.daemons().stream().mapToInt((daemon) -> daemon.served).sum();
	}

	private static int rejected(LimitSimulation simulation) {
		return simulation.daemons().stream().mapToInt((daemon) -> daemon.rejected).sum();
	}

	/**
	 * Guards against requests that still reach the zone, or that are refused although the
	 * rest has room. Load: steady arrivals, two fifths of what the rest can run.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 40 })
	void nothingNewReachesTheZoneAndTheRestServesAll(int daemons) {
		final LimitSimulation simulation = world(daemons);
		simulation.evacuate(Set.of("z2"));
		simulation.run(1.1);
		final int reached = received(simulation, "z2");
		final int rejected = rejected(simulation);
		final int served = served(simulation);
		simulation.run(20);
		assertThat(received(simulation, "z2")).isEqualTo(reached);
		assertThat(rejected(simulation)).isEqualTo(rejected);
		assertThat(served(simulation) - served).isGreaterThan((int) (0.9 * 20 * DEMAND_PER_SECOND));
	}

	/**
	 * Guards against callers who wait where no target is left, or are told to come back
	 * at once. Load: steady arrivals.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 40 })
	void withAllZonesEvacuatedCallersAreRefusedAtOnce(int daemons) {
		final LimitSimulation simulation = world(daemons);
		simulation.evacuate(Set.of("z1", "z2"));
		simulation.run(2);
		final int served = served(simulation);
		final int rejected = rejected(simulation);
		simulation.daemons().forEach((daemon) -> {
			daemon.rejectedLate = 0;
			daemon.minRetryAfterMillis = Long.MAX_VALUE;
		});
		simulation.run(10);
		assertThat(served(simulation)).isEqualTo(served);
		assertThat(rejected(simulation) - rejected).isGreaterThan((int) (0.8 * 10 * DEMAND_PER_SECOND));
		assertThat(simulation.daemons()).allMatch((daemon) -> daemon.rejectedLate == 0)
			.allMatch((daemon) -> daemon.minRetryAfterMillis >= 1_000);
	}

	/**
	 * Guards against cold targets that get the zone's whole load when it is taken back.
	 * Load: steady arrivals; the zone's targets turned cold while it was evacuated.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 40 })
	void targetsThatAreColdWhenTheirZoneIsTakenBackArePaced(int daemons) {
		final LimitSimulation simulation = world(daemons);
		simulation.evacuate(Set.of("z2"));
		simulation.run(5);
		for (int target = TARGETS / 2; target < TARGETS; target++) {
			simulation.setCold(target, 12);
			simulation.daemon(target % daemons).learnCold(target, true);
		}
		simulation.run(2);
		simulation.evacuate(Set.of());
		simulation.run(9);
		for (int target = TARGETS / 2; target < TARGETS; target++) {
			assertThat(simulation.instance(target).maxColdPerSecond).isBetween(1, (int) COLD_PER_SECOND);
		}
		simulation.run(10);
		assertThat(received(simulation, "z2")).isPositive();
	}

}
