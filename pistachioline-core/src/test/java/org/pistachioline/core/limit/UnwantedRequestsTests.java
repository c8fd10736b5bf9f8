package org.pistachioline.core.limit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.pistachioline.core.traffic.TargetKind;

import static org.assertj.core.api.Assertions.assertThat;

class UnwantedRequestsTests {

	private static final int SEEDS = 5;

	private static final int TARGETS = 23;

	/**
	 * Guards against daemons that send requests to a target while it rests, each of which
	 * it must turn away again.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 1", "1, 3", "1, 30", "8, 1", "8, 3", "8, 30", "95, 3" })
	void aTargetGetsNothingFromADaemonThatItAskedForRest(int daemons, double restSeconds) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			final LimitWorld world = new LimitWorld(seed, daemons, TARGETS, TargetKind.MODEL);
			world.traffic(TARGETS * 6);
			world.run(4);
			for (int turn = 0; turn < 8; turn++) {
				for (int target = 0; target < TARGETS; target += 2) {
					world.turnAway((target + turn) % TARGETS, (turn % 3 < 2) ? restSeconds : 0);
				}
				world.run(4);
			}
			assertThat(world.violations).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against rest that is forgotten when the group of a head is formed anew.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8 })
	void theRestIsTheInstancesWhateverGroupItServes(int daemons) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			final LimitWorld world = new LimitWorld(seed, daemons, 6, TargetKind.MODEL);
			world.traffic(6 * 6);
			world.run(4);
			world.turnAway(0, 30);
			for (int turn = 0; turn < 10; turn++) {
				world.run(2);
				world.formAnew(0);
			}
			assertThat(world.violations).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against a target that is left alone after its rest is over.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 40 })
	void aTargetGetsItsPartAgainWhenItsRestIsOver(int daemons) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			final LimitWorld world = new LimitWorld(seed, daemons, 6, TargetKind.MODEL);
			world.traffic(6 * 8);
			world.run(4);
			world.turnAway(0, 3);
			world.run(6);
			world.turnAway(0, 0);
			world.run(4);
			final int before = world.engine(0).got;
			world.run(10);
			assertThat(world.engine(0).got - before).as("seed " + seed).isGreaterThan(40);
		}
	}

	/**
	 * Guards against requests to a target that has said that it leaves, also where the
	 * list shows it as ready for long, or its group is formed anew.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 95 })
	void aTargetThatLeavesGetsNothingFromADaemonThatItHasTold(int daemons) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			final LimitWorld world = new LimitWorld(seed, daemons, TARGETS, TargetKind.MODEL);
			world.traffic(TARGETS * 6);
			world.run(4);
			for (int target = 0; target < TARGETS / 2; target++) {
				world.engine(target).leaving = true;
				world.run(1);
			}
			world.formAnew(0);
			world.run(4);
			assertThat(world.engine(0).leavingToldNanos).as("seed " + seed).isNotEmpty();
			assertThat(world.violations).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against callers who wait until their time is up for a service all of whose
	 * targets rest, or who are sent back again and again while they do.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 40 })
	void callersOfAServiceWhoseTargetsAllRestAreToldWhenToComeBack(int daemons) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			final LimitWorld world = new LimitWorld(seed, daemons, 3, TargetKind.SERVICE);
			world.traffic(60);
			world.run(4);
			assertThat(world.daemons()).as("seed " + seed).allMatch((daemon) -> daemon.refused == 0);
			for (int target = 0; target < 3; target++) {
				world.turnAway(target, 20);
			}
			world.run(4);
			world.daemons().forEach((daemon) -> daemon.leastRetryMillis = Long.MAX_VALUE);
			world.run(6);
			assertThat(world.violations).as("seed " + seed).isEmpty();
			assertThat(world.daemons()).as("seed " + seed)
				.allMatch((daemon) -> daemon.refusedLate == 0)
				.filteredOn((daemon) -> daemon.leastRetryMillis < Long.MAX_VALUE)
				.isNotEmpty();
			if (daemons <= 8) {
				assertThat(world.daemons()).as("seed " + seed)
					.allMatch((daemon) -> daemon.leastRetryMillis >= 20_000 - 10_000);
			}
		}
	}

}
