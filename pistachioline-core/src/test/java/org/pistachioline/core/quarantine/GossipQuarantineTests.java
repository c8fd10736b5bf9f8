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

	/** What the users allow later than three seconds after the third target has ended. */
	private static final int MAX_LATE_ARRIVALS = 3;

	/** They tell what the request does. */
	private static final int DETECTION_CRASHES = 3;

	/** How many times copies may come before the first has crashed its target. */
	private static final int MAX_CONCURRENT_SUBMISSIONS = 3;

	private static CrashSimulation startSimulation(long seed, int daemons) {
		final CrashSimulation world = new CrashSimulation(seed, daemons, TARGET_COUNT, GossipQuarantine::new);
		world.sendUniqueRequests(REQUESTS_PER_SECOND);
		world.run(3);
		return world;
	}

	private static int maxCrashes(int copies) {
		return DETECTION_CRASHES + MAX_CONCURRENT_SUBMISSIONS * copies;
	}

	private static void assertContained(long seed, CrashSimulation world, int copies, String... killers) {
		for (final String killer : killers) {
			assertThat(world.crashCount(killer)).as("seed " + seed).isBetween(1, maxCrashes(copies));
			assertThat(world.lateArrivals(killer)).as("seed " + seed).isLessThanOrEqualTo(MAX_LATE_ARRIVALS);
		}
		assertThat(world.quarantinedBystanders).as("seed " + seed).isEmpty();
	}

	/**
	 * Guards against a request that crashes one target after the other, two with each
	 * copy, as long as its callers send it.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 1", "1, 3", "8, 1", "8, 3", "95, 1", "95, 3" })
	void aRequestThatCrashesTargetsIsSoonQuarantined(int daemons, int copies) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation world = startSimulation(seed, daemons);
			world.sendCrashingRequest("a", 3, copies, 12);
			world.run(15);
			assertContained(seed, world, copies, "a");
		}
	}

	/**
	 * Guards against two such requests whose deaths are taken for each other's, or for
	 * those of what ran beside them.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8 })
	void twoConcurrentCrashingRequestsAreBothQuarantined(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation world = startSimulation(seed, daemons);
			world.sendCrashingRequest("a", 4, 1, 15);
			world.sendCrashingRequest("b", 4, 2, 15);
			world.run(20);
			assertContained(seed, world, 2, "a", "b");
		}
	}

	/**
	 * Guards against callers who are refused for good since targets that died for other
	 * reasons were running their requests.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 95 })
	void noRequestIsQuarantinedWhileTargetsCrashForOtherReasons(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation world = startSimulation(seed, daemons);
			world.sendPopularRequest("popular", 10);
			world.crashRandomTargets(0.7);
			world.run(30);
			assertThat(world.quarantinedBystanders).as("seed " + seed).isEmpty();
			assertThat((double) world.bystandersServed / world.bystanders).as("seed " + seed).isGreaterThan(0.9);
		}
	}

	/**
	 * Guards against callers who are refused for good since rack after rack went under
	 * their requests.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 95 })
	void rackFailuresQuarantineNoRequest(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation world = startSimulation(seed, daemons);
			for (int rack = 0; rack < 4; rack++) {
				world.crashRack(10 * rack, 10);
				world.run(0.2);
			}
			world.run(5);
			assertThat(world.quarantinedBystanders).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against a request that met three such deaths by chance, one right after the
	 * other, and is refused for good.
	 */
	@Test
	void threeCrashesQuarantineNothingDuringUnrelatedCrashes() {
		final CrashSimulation world = new CrashSimulation(16, 1, TARGET_COUNT, GossipQuarantine::new);
		world.sendUniqueRequests(REQUESTS_PER_SECOND);
		world.crashRandomTargets(0.7);
		world.sendPopularRequest("popular", 10);
		for (int second = 0; second < 30; second++) {
			world.run(1);
			assertThat(world.daemon(0).core().targetCrashes().quarantined()).isEmpty();
		}
	}

	/**
	 * Guards against callers who are refused for good since connections to targets that
	 * live on are reset again and again.
	 */
	@Test
	void noRequestIsQuarantinedWhileTargetsResetConnections() {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation world = startSimulation(seed, 8);
			world.resetRatio = 0.4;
			world.sendPopularRequest("popular", 10);
			world.run(20);
			assertThat(world.quarantinedBystanders).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against a request that is found out only as long as all frames between
	 * daemons arrive.
	 */
	@Test
	void heartbeatsMakeUpForLostBroadcasts() {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation world = startSimulation(seed, 8);
			world.frameLossRatio = 0.5;
			world.sendCrashingRequest("a", 3, 1, 15);
			world.run(20);
			assertContained(seed, world, 1, "a");
		}
	}

	/**
	 * Guards against a daemon that has been cut off from the others, or has just started,
	 * and crashes targets anew.
	 */
	@Test
	void aDaemonThatRejoinsSoonHasTheSameQuarantinesAsItsPeers() {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation world = startSimulation(seed, 8);
			world.partitionedIds.add("daemon-0");
			world.sendCrashingRequest("a", 3, 1, 2);
			world.run(6);
			world.partitionedIds.clear();
			world.daemon(1).stop();
			world.run(1);
			world.daemon(1).start();
			world.run(3);
			assertThat(world.daemons()).as("seed " + seed)
				.allMatch((daemon) -> daemon.core()
					.targetCrashes()
					.quarantined()
					.equals(Set.of(CrashSimulation.CRASHING_PREFIX + "a")));
		}
	}

	/**
	 * Guards against a request that takes more targets with each daemon that restarts.
	 */
	@Test
	void rollingRestartsLoseNoQuarantine() {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation world = startSimulation(seed, 8);
			world.sendCrashingRequest("a", 3, 1, 30);
			world.run(3);
			for (int turn = 0; turn < 16; turn++) {
				world.daemon(turn % 8).stop();
				world.run(0.7);
				world.daemon(turn % 8).start();
				world.run(0.7);
			}
			assertContained(seed, world, 1, "a");
		}
	}

	/**
	 * Guards against a request that is taken for harmless after all daemons have died and
	 * none remembers it, and reaches many targets anew, at whatever rate it comes.
	 */
	@ParameterizedTest
	@ValueSource(doubles = { 3, 0.4 })
	void afterAllDaemonsRestartTheRequestIsQuarantinedAgain(double perSecond) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation world = startSimulation(seed, 8);
			world.sendCrashingRequest("a", perSecond, 1, 60);
			world.run(20);
			world.daemons().forEach(CrashSimulationDaemon::stop);
			world.run(1);
			world.daemons().forEach(CrashSimulationDaemon::start);
			world.run(30);
			assertThat(world.crashCount("a")).as("seed " + seed).isBetween(1, 2 * maxCrashes(1));
			assertThat(world.lateArrivals("a")).as("seed " + seed).isLessThanOrEqualTo(MAX_LATE_ARRIVALS);
			assertThat(world.quarantinedBystanders).as("seed " + seed).isEmpty();
		}
	}

}
