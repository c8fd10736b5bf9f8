package org.pistachioline.core.quarantine;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests requests that have nothing in common but a part of their prompts, which crashes
 * each target that begins to answer, beside harmless requests that share all other parts.
 */
class PromptPartQuarantineTests {

	private static final int SEED_COUNT = 5;

	private static final int TARGET_COUNT = 46;

	private static final double REQUESTS_PER_SECOND = TARGET_COUNT * 3;

	/** Accepted arrivals at targets more than three seconds after the fifth crash. */
	private static final int MAX_LATE_ARRIVALS = 3;

	/** Time by which all daemons must know of the part, and twice that. */
	private static final double SETTLING_SECONDS = 8;

	private static final double OBSERVED_SECONDS = 10;

	/** Harmless requests must be served at least half as often as before. */
	private static final double MIN_SERVED_RATIO = 0.5;

	private static final String PART = CrashSimulation.PART_MARK + "a";

	private static final String OTHER_PART = CrashSimulation.PART_MARK + "b";

	private static CrashSimulation startSimulation(long seed, int daemons) {
		final CrashSimulation simulation = new CrashSimulation(seed, daemons, TARGET_COUNT, GossipQuarantine::new);
		simulation.sendRequestsWithParts(REQUESTS_PER_SECOND);
		simulation.run(3);
		return simulation;
	}

	private static void assertContained(long seed, CrashSimulation simulation, String... parts) {
		for (final String part : parts) {
			assertThat(simulation.crashCount(part)).as("seed " + seed).isPositive();
			assertThat(simulation.lateArrivals(part)).as("seed " + seed).isLessThanOrEqualTo(MAX_LATE_ARRIVALS);
		}
		assertThat(simulation.quarantinedBystanders).as("seed " + seed).isEmpty();
	}

	private static double servedRatio(CrashSimulation simulation) {
		final int sentBefore = simulation.bystanders;
		final int servedBefore = simulation.bystandersServed;
		simulation.run(OBSERVED_SECONDS);
		return (double) (simulation.bystandersServed - servedBefore) / (simulation.bystanders - sentBefore);
	}

	/**
	 * Guards against requests that crash one target after another, although no two of
	 * them are alike, while harmless requests with their other parts are served.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 0", "1, 1", "1, 2", "8, 0", "8, 1", "8, 2", "95, 0", "95, 1", "95, 2" })
	void requestsWithAPartThatCrashesTargetsAreSoonQuarantined(int daemons, int position) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation simulation = startSimulation(seed, daemons);
			simulation.sendCrashingPart(PART, position, 3, SETTLING_SECONDS + OBSERVED_SECONDS);
			simulation.run(SETTLING_SECONDS);
			assertThat(servedRatio(simulation)).as("seed " + seed).isGreaterThan(MIN_SERVED_RATIO);
			assertContained(seed, simulation, PART);
		}
	}

	/**
	 * Guards against crashes under two such parts being attributed to each other, or to
	 * the parts that come with them.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8 })
	void twoPartsThatCrashTargetsAreBothQuarantined(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation simulation = startSimulation(seed, daemons);
			simulation.sendCrashingPart(PART, 1, 3, 20);
			simulation.sendCrashingPart(OTHER_PART, 2, 3, 20);
			simulation.run(20);
			assertContained(seed, simulation, PART, OTHER_PART);
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
			simulation.sendCrashingPart(PART, 1, 3, 15);
			simulation.run(20);
			assertContained(seed, simulation, PART);
		}
	}

	/**
	 * Guards against harmless requests that are refused because they share a part of
	 * their prompts with the one request that crashes targets.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 95 })
	void noPartIsQuarantinedWithTheOneRequestThatCrashesTargets(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation simulation = startSimulation(seed, daemons);
			simulation.sendCrashingRequestWithSharedParts("a", 3, 18);
			simulation.run(25);
			assertThat(simulation.crashCount("a")).as("seed " + seed).isBetween(1, 6);
			assertThat(simulation.lateArrivals("a")).as("seed " + seed).isLessThanOrEqualTo(MAX_LATE_ARRIVALS);
			assertThat(simulation.quarantinedBystanders).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against the same while targets also crash for other reasons, under requests
	 * that share the part.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8 })
	void noPartIsQuarantinedWithTheOneRequestThatCrashesTargetsBesideOtherCrashes(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation simulation = startSimulation(seed, daemons);
			simulation.crashRandomTargets(0.7);
			simulation.sendCrashingRequestWithSharedParts("a", 3, 18);
			simulation.run(25);
			assertThat(simulation.quarantinedBystanders).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against a part that is quarantined, and all requests with it, because
	 * targets crashed for other reasons while they began to answer some of them.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 95 })
	void noPartIsQuarantinedWhileTargetsCrashForOtherReasons(int daemons) {
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			final CrashSimulation simulation = startSimulation(seed, daemons);
			simulation.crashRandomTargets(0.7);
			simulation.run(30);
			assertThat(simulation.quarantinedBystanders).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against the same when racks fail one after the other.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 95 })
	void rackFailuresQuarantineNoPart(int daemons) {
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

}
