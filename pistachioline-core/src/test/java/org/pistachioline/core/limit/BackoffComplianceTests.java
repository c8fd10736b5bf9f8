package org.pistachioline.core.limit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.pistachioline.core.traffic.TargetKind;

import static org.assertj.core.api.Assertions.assertThat;

class BackoffComplianceTests {

	private static final int SEED_COUNT = 5;

	private static final int TARGET_COUNT = 23;

	/**
	 * Guards against daemons that send requests to a target while it rests, each of which
	 * it must turn away again.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 1", "1, 3", "1, 30", "8, 1", "8, 3", "8, 30", "95, 3" })
	void aTargetReceivesNoRequestsFromADaemonDuringItsBackoff(int daemons, double restSeconds) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation world = new LimitSimulation(seed, daemons, TARGET_COUNT, TargetKind.MODEL);
			world.sendRequests(TARGET_COUNT * 6);
			world.run(4);
			for (int turn = 0; turn < 8; turn++) {
				for (int target = 0; target < TARGET_COUNT; target += 2) {
					world.setBackoff((target + turn) % TARGET_COUNT, (turn % 3 < 2) ? restSeconds : 0);
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
	void theBackoffAppliesToTheInstanceAcrossItsGroups(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation world = new LimitSimulation(seed, daemons, 6, TargetKind.MODEL);
			world.sendRequests(6 * 6);
			world.run(4);
			world.setBackoff(0, 30);
			for (int turn = 0; turn < 10; turn++) {
				world.run(2);
				world.reformGroup(0);
			}
			assertThat(world.violations).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against a target that is left alone after its rest is over.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 40 })
	void aTargetReceivesItsShareAgainAfterItsBackoff(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation world = new LimitSimulation(seed, daemons, 6, TargetKind.MODEL);
			world.sendRequests(6 * 8);
			world.run(4);
			world.setBackoff(0, 3);
			world.run(6);
			world.setBackoff(0, 0);
			world.run(4);
			final int before = world.instance(0).receivedRequests;
			world.run(10);
			assertThat(world.instance(0).receivedRequests - before).as("seed " + seed).isGreaterThan(40);
		}
	}

	/**
	 * Guards against requests to a target that has said that it leaves, also where the
	 * list shows it as ready for long, or its group is formed anew.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 95 })
	void aLeavingTargetReceivesNothingFromDaemonsThatItInformed(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation world = new LimitSimulation(seed, daemons, TARGET_COUNT, TargetKind.MODEL);
			world.sendRequests(TARGET_COUNT * 6);
			world.run(4);
			for (int target = 0; target < TARGET_COUNT / 2; target++) {
				world.instance(target).leaving = true;
				world.run(1);
			}
			world.reformGroup(0);
			world.run(4);
			assertThat(world.instance(0).leavingReceivedNanos).as("seed " + seed).isNotEmpty();
			assertThat(world.violations).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against callers who wait until their time is up for a service all of whose
	 * targets rest, or who are sent back again and again while they do.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 40 })
	void callersAreToldWhenToRetryWhileAllTargetsOfAServiceBackOff(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation world = new LimitSimulation(seed, daemons, 3, TargetKind.SERVICE);
			world.sendRequests(60);
			world.run(4);
			assertThat(world.daemons()).as("seed " + seed).allMatch((daemon) -> daemon.rejected == 0);
			for (int target = 0; target < 3; target++) {
				world.setBackoff(target, 20);
			}
			world.run(4);
			world.daemons().forEach((daemon) -> daemon.minRetryAfterMillis = Long.MAX_VALUE);
			world.run(6);
			assertThat(world.violations).as("seed " + seed).isEmpty();
			assertThat(world.daemons()).as("seed " + seed)
				.allMatch((daemon) -> daemon.rejectedLate == 0)
				.filteredOn((daemon) -> daemon.minRetryAfterMillis < Long.MAX_VALUE)
				.isNotEmpty();
			if (daemons <= 8) {
				assertThat(world.daemons()).as("seed " + seed)
					.allMatch((daemon) -> daemon.minRetryAfterMillis >= 20_000 - 10_000);
			}
		}
	}

}
