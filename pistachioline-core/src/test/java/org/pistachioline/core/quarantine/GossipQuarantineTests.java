package org.pistachioline.core.quarantine;

import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class GossipQuarantineTests {

	private static final int SEED_COUNT = 5;

	private static final int TARGET_COUNT = 46;

	private static final double REQUESTS_PER_SECOND = TARGET_COUNT * 3;

	/**
	 * Accepted number of arrivals at targets more than three seconds after the third
	 * crash.
	 */
	private static final int MAX_LATE_ARRIVALS = 3;

	/** Number of crashes required to identify the request. */
	private static final int DETECTION_CRASHES = 3;

	/** How many further submissions may be on their way when a target crashes. */
	private static final int MAX_CONCURRENT_SUBMISSIONS = 3;

	private static CrashSimulation startSimulation(long seed, int daemons) {
		final CrashSimulation simulation = new CrashSimulation(seed, daemons, TARGET_COUNT, GossipQuarantine::new);
		simulation.sendUniqueRequests(REQUESTS_PER_SECOND);
		simulation.run(3);
		return simulation;
	}

	private static int maxCrashes(int copies) {
		return DETECTION_CRASHES + MAX_CONCURRENT_SUBMISSIONS * copies;
	}

	private static void assertContained(long seed, CrashSimulation simulation, int copies, String... names) {
		for (final String name : names) {
			assertThat(simulation.crashCount(name)).as("seed " + seed).isBetween(1, maxCrashes(copies));
			assertThat(simulation.lateArrivals(name)).as("seed " + seed).isLessThanOrEqualTo(MAX_LATE_ARRIVALS);
		}
		assertThat(simulation.quarantinedBystanders).as("seed " + seed).isEmpty();
	}

	/**
	 * Guards against a request that crashes one target after another for as long as its
	 * callers submit it, up to two with each copy.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 1", "1, 3", "8, 1", "8, 3", "95, 1", "95, 3" })
	void aRequestThatCrashesTargetsIsSoonQuarantined(int daemons, int copies) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation simulation = startSimulation(seed, daemons);
			simulation.sendCrashingRequest("a", 3, copies, 12);
			simulation.run(15);
			assertContained(seed, simulation, copies, "a");
		}
	}

	/**
	 * Guards against crashes of two requests being attributed to each other, or to
	 * requests that ran beside them.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8 })
	void twoConcurrentCrashingRequestsAreBothQuarantined(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation simulation = startSimulation(seed, daemons);
			simulation.sendCrashingRequest("a", 4, 1, 15);
			simulation.sendCrashingRequest("b", 4, 2, 15);
			simulation.run(20);
			assertContained(seed, simulation, 2, "a", "b");
		}
	}

	/**
	 * Guards against quarantined requests that only ran on targets which crashed for
	 * other reasons.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 95 })
	void noRequestIsQuarantinedWhileTargetsCrashForOtherReasons(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation simulation = startSimulation(seed, daemons);
			simulation.sendPopularRequest("popular", 10);
			simulation.crashRandomTargets(0.7);
			simulation.run(30);
			assertThat(simulation.quarantinedBystanders).as("seed " + seed).isEmpty();
			assertThat((double) simulation.bystandersServed / simulation.bystanders).as("seed " + seed)
				.isGreaterThan(0.9);
		}
	}

	/**
	 * Guards against requests that are quarantined because several racks failed while
	 * running them.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 95 })
	void rackFailuresQuarantineNoRequest(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation simulation = startSimulation(seed, daemons);
			for (int rack = 0; rack < 4; rack++) {
				simulation.crashRack(10 * rack, 10);
				simulation.run(0.2);
			}
			simulation.run(5);
			assertThat(simulation.quarantinedBystanders).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against a popular request, answered thousands of times, that is refused to
	 * all callers because racks failed while many of their targets were running it.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 3", "1, 6", "1, 12", "8, 3", "8, 6", "8, 12", "95, 6", "95, 12" })
	void aPopularRequestIsNotQuarantinedWhenTargetsCrashTogether(int daemons, int crashedTargets) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation simulation = new CrashSimulation(seed, daemons, TARGET_COUNT, GossipQuarantine::new);
			simulation.sendPopularRequest("popular", REQUESTS_PER_SECOND);
			simulation.run(3);
			simulation.crashRack(0, crashedTargets);
			simulation.run(0.3);
			simulation.crashRack(TARGET_COUNT / 2, crashedTargets);
			simulation.run(5);
			assertThat(simulation.quarantinedBystanders).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against a request that is quarantined because it was running during three
	 * unrelated crashes in quick succession.
	 */
	@Test
	void threeCrashesQuarantineNothingDuringUnrelatedCrashes() {
		final CrashSimulation simulation = new CrashSimulation(16, 1, TARGET_COUNT, GossipQuarantine::new);
		simulation.sendUniqueRequests(REQUESTS_PER_SECOND);
		simulation.crashRandomTargets(0.7);
		simulation.sendPopularRequest("popular", 10);
		for (int second = 0; second < 30; second++) {
			simulation.run(1);
			assertThat(simulation.daemon(0).core().targetCrashes().quarantined()).isEmpty();
		}
	}

	/**
	 * Guards against requests that are quarantined because running targets reset their
	 * connections repeatedly.
	 */
	@Test
	void noRequestIsQuarantinedWhileTargetsResetConnections() {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation simulation = startSimulation(seed, 8);
			simulation.resetRatio = 0.4;
			simulation.sendPopularRequest("popular", 10);
			simulation.run(20);
			assertThat(simulation.quarantinedBystanders).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against a quarantine that depends on every frame between daemons being
	 * delivered; here half of them are lost.
	 */
	@Test
	void heartbeatsMakeUpForLostBroadcasts() {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation simulation = startSimulation(seed, 8);
			simulation.frameLossRatio = 0.5;
			simulation.sendCrashingRequest("a", 3, 1, 15);
			simulation.run(20);
			assertContained(seed, simulation, 1, "a");
		}
	}

	/**
	 * Guards against further crashes caused by a daemon that was partitioned from the
	 * others or has just started.
	 */
	@Test
	void aDaemonThatRejoinsSoonHasTheSameQuarantinesAsItsPeers() {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation simulation = startSimulation(seed, 8);
			simulation.partitionedIds.add("daemon-0");
			simulation.sendCrashingRequest("a", 3, 1, 2);
			simulation.run(6);
			simulation.partitionedIds.clear();
			simulation.daemon(1).stop();
			simulation.run(1);
			simulation.daemon(1).start();
			simulation.run(3);
			assertThat(simulation.daemons()).as("seed " + seed)
				.allMatch((daemon) -> daemon.core()
					.targetCrashes()
					.quarantined()
					.equals(Set.of(CrashSimulation.CRASHING_PREFIX + "a")));
		}
	}

	/**
	 * Guards against a request that crashes further targets each time a daemon restarts.
	 */
	@Test
	void rollingRestartsLoseNoQuarantine() {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation simulation = startSimulation(seed, 8);
			simulation.sendCrashingRequest("a", 3, 1, 30);
			simulation.run(3);
			for (int restart = 0; restart < 16; restart++) {
				simulation.daemon(restart % 8).stop();
				simulation.run(0.7);
				simulation.daemon(restart % 8).start();
				simulation.run(0.7);
			}
			assertContained(seed, simulation, 1, "a");
		}
	}

	/**
	 * Guards against a request that crashes many targets again, at a high or a low rate,
	 * after all daemons restarted and lost their evidence.
	 */
	@ParameterizedTest
	@ValueSource(doubles = { 3, 0.4 })
	void afterAllDaemonsRestartTheRequestIsQuarantinedAgain(double perSecond) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation simulation = startSimulation(seed, 8);
			simulation.sendCrashingRequest("a", perSecond, 1, 60);
			simulation.run(20);
			simulation.daemons().forEach(CrashSimulationDaemon::stop);
			simulation.run(1);
			simulation.daemons().forEach(CrashSimulationDaemon::start);
			simulation.run(30);
			assertThat(simulation.crashCount("a")).as("seed " + seed).isBetween(1, 2 * maxCrashes(1));
			assertThat(simulation.lateArrivals("a")).as("seed " + seed).isLessThanOrEqualTo(MAX_LATE_ARRIVALS);
			assertThat(simulation.quarantinedBystanders).as("seed " + seed).isEmpty();
		}
	}

}
