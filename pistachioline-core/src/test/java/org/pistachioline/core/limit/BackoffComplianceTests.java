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
	 * Guards against daemons that send requests to a target during its backoff, each of
	 * which it must decline again.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 1", "1, 3", "1, 30", "8, 1", "8, 3", "8, 30", "95, 3" })
	void aTargetReceivesNoRequestsFromADaemonDuringItsBackoff(int daemons, double backoffSeconds) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation simulation = new LimitSimulation(seed, daemons, TARGET_COUNT, TargetKind.MODEL);
			simulation.sendRequests(TARGET_COUNT * 6);
			simulation.run(4);
			for (int round = 0; round < 8; round++) {
				for (int target = 0; target < TARGET_COUNT; target += 2) {
					simulation.setBackoff((target + round) % TARGET_COUNT, (round % 3 < 2) ? backoffSeconds : 0);
				}
				simulation.run(4);
			}
			assertThat(simulation.violations).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against a backoff that is lost when the group of its head is dissolved and
	 * formed again.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8 })
	void theBackoffAppliesToTheInstanceAcrossItsGroups(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation simulation = new LimitSimulation(seed, daemons, 6, TargetKind.MODEL);
			simulation.sendRequests(6 * 6);
			simulation.run(4);
			simulation.setBackoff(0, 30);
			for (int round = 0; round < 10; round++) {
				simulation.run(2);
				simulation.reformGroup(0);
			}
			assertThat(simulation.violations).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against a target that receives no requests after its backoff has ended.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 40 })
	void aTargetReceivesItsShareAgainAfterItsBackoff(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation simulation = new LimitSimulation(seed, daemons, 6, TargetKind.MODEL);
			simulation.sendRequests(6 * 8);
			simulation.run(4);
			simulation.setBackoff(0, 3);
			simulation.run(6);
			simulation.setBackoff(0, 0);
			simulation.run(4);
			final int before = simulation.instance(0).receivedRequests;
			simulation.run(10);
			assertThat(simulation.instance(0).receivedRequests - before).as("seed " + seed).isGreaterThan(40);
		}
	}

	/**
	 * Guards against requests to a target that announced that it is leaving, also if the
	 * target list still shows it as ready or its group is formed again.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 95 })
	void aLeavingTargetReceivesNothingFromDaemonsThatItInformed(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation simulation = new LimitSimulation(seed, daemons, TARGET_COUNT, TargetKind.MODEL);
			simulation.sendRequests(TARGET_COUNT * 6);
			simulation.run(4);
			for (int target = 0; target < TARGET_COUNT / 2; target++) {
				simulation.instance(target).leaving = true;
				simulation.run(1);
			}
			simulation.reformGroup(0);
			simulation.run(4);
			assertThat(simulation.instance(0).leavingReceivedNanos).as("seed " + seed).isNotEmpty();
			assertThat(simulation.violations).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against callers that wait until their deadline for a service whose targets
	 * all back off, or that are told to retry while they still do.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 40 })
	void callersAreToldWhenToRetryWhileAllTargetsOfAServiceBackOff(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final LimitSimulation simulation = new LimitSimulation(seed, daemons, 3, TargetKind.SERVICE);
			simulation.sendRequests(60);
			simulation.run(4);
			assertThat(simulation.daemons()).as("seed " + seed).allMatch((daemon) -> daemon.rejected == 0);
			for (int target = 0; target < 3; target++) {
				simulation.setBackoff(target, 20);
			}
			simulation.run(4);
			simulation.daemons().forEach((daemon) -> daemon.minRetryAfterMillis = Long.MAX_VALUE);
			simulation.run(6);
			assertThat(simulation.violations).as("seed " + seed).isEmpty();
			assertThat(simulation.daemons()).as("seed " + seed)
				.allMatch((daemon) -> daemon.rejectedLate == 0)
				.filteredOn((daemon) -> daemon.minRetryAfterMillis < Long.MAX_VALUE)
				.isNotEmpty();
			if (daemons <= 8) {
				assertThat(simulation.daemons()).as("seed " + seed)
					.allMatch((daemon) -> daemon.minRetryAfterMillis >= 20_000 - 10_000);
			}
		}
	}

}
