package org.pistachioline.core.placement;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests placement over targets of different pace, which slow down by half until they are
 * full and report a load that is 200 ms old, with many daemons of which each sees a few
 * requests per second. Idle connections are used again for
 * {@link WarmConnections#KEEP_MILLIS}.
 */
class WeightedSubsetPlacementTests {

	private static final double[] PACES = { 1, 0.6, 1.4 };

	private static final double MAX_BUSIEST_TO_MEAN = 1.5;

	private static final double MAX_NEW_CONNECTIONS = 0.25;

	/**
	 * Load: steady, four to eight requests per second and daemon, half to three quarters
	 * full.
	 */
	@ParameterizedTest
	@CsvSource({ "130, 40, 34, 8", "130, 40, 34, 5", "130, 27, 34, 4", "78, 40, 14, 4", "78, 48, 14, 5.5" })
	void unevenTargetsAreEquallyBusyAndConnectionsAreUsedAgain(int daemons, int targets, int slots, double rate) {
		final UnevenFleet fleet = settled(daemons, targets, slots, rate);
		fleet.time.run(20);
		assertThat(fleet.busiestToMean("")).isLessThanOrEqualTo(MAX_BUSIEST_TO_MEAN);
		assertThat(fleet.newConnectionsPerRequest()).isLessThanOrEqualTo(MAX_NEW_CONNECTIONS);
		assertThat(fleet.crossZoneRatio()).isZero();
	}

	/**
	 * Load: five requests per second and daemon, most of them for the model with small
	 * groups.
	 */
	@Test
	void twoModelsShareTheRequestsOfADaemon() {
		final UnevenFleet large = settled(130, 6, 34, 0.8);
		final UnevenFleet small = settled(130, 27, 34, 4.2);
		large.time.run(30);
		small.time.run(30);
		assertThat(large.busiestToMean("")).isLessThanOrEqualTo(MAX_BUSIEST_TO_MEAN);
		assertThat(small.busiestToMean("")).isLessThanOrEqualTo(MAX_BUSIEST_TO_MEAN);
		assertThat((double) (large.newConnections + small.newConnections) / (large.requests + small.requests))
			.isLessThanOrEqualTo(MAX_NEW_CONNECTIONS);
	}

	/**
	 * Load: each zone's demand swings from half to twice the mean, the others' opposite.
	 */
	@Test
	void demandThatSwingsStaysInItsZoneWhileThereIsRoom() {
		final UnevenFleet fleet = new UnevenFleet(7);
		fleet.addTargets(39, 34, PACES);
		fleet.addDaemons(130, true);
		fleet.load((zone, seconds) -> zone.equals(UnevenFleet.ZONES[(int) (seconds / 8) % 3]) ? 8 : 2, 700);
		fleet.time.run(8);
		fleet.measure();
		fleet.time.run(24);
		assertThat(fleet.crossZoneRatio()).isLessThan(0.01);
		for (final String zone : UnevenFleet.ZONES) {
			assertThat(fleet.busiestToMean(zone)).isLessThanOrEqualTo(MAX_BUSIEST_TO_MEAN);
		}
		assertThat(fleet.newConnectionsPerRequest()).isLessThanOrEqualTo(MAX_NEW_CONNECTIONS);
	}

	/**
	 * Guards against callers who wait beside other zones' idle targets when their own
	 * zone is full.
	 */
	@Test
	void demandBeyondAZonesRoomGoesToOtherZones() {
		final UnevenFleet fleet = new UnevenFleet(7);
		fleet.addTargets(18, 34, PACES);
		fleet.addDaemons(130, true);
		fleet.load((zone, seconds) -> zone.equals("a") ? 5 : 0.5, 700);
		fleet.time.run(10);
		fleet.measure();
		fleet.time.run(10);
		assertThat(fleet.crossZoneRatio()).isGreaterThan(0.1);
		assertThat((double) fleet.waited / fleet.requests).isLessThan(0.05);
	}

	/** Guards against daemons that find no target since their own zone has none. */
	@Test
	void daemonsOfAZoneWithoutTargetsUseTheOtherZonesEvenly() {
		final UnevenFleet fleet = new UnevenFleet(7);
		fleet.addTargets(40, 34, PACES);
		fleet.targets.removeIf((target) -> target.zone.equals("c"));
		fleet.addDaemons(130, true);
		fleet.load((zone, seconds) -> 4, 700);
		fleet.time.run(10);
		fleet.measure();
		fleet.time.run(10);
		assertThat(fleet.busiestToMean("")).isLessThanOrEqualTo(MAX_BUSIEST_TO_MEAN);
		assertThat(fleet.newConnectionsPerRequest()).isLessThanOrEqualTo(MAX_NEW_CONNECTIONS);
		assertThat(fleet.waited).isZero();
	}

	/**
	 * Guards against a fleet whose daemons know different daemons and so compute
	 * different shares.
	 */
	@Test
	void daemonsThatKnowDifferentDaemonsStillUseTargetsEvenly() {
		final UnevenFleet fleet = new UnevenFleet(7);
		fleet.addTargets(40, 34, PACES);
		fleet.addDaemons(130, true);
		for (int i = 0; i < fleet.daemons.size(); i++) {
			fleet.daemons.get(i).rank = new DaemonRank(i / 3, 60 + 10 * (i % 8));
		}
		fleet.load((zone, seconds) -> 5, 700);
		fleet.time.run(10);
		fleet.measure();
		fleet.time.run(10);
		assertThat(fleet.busiestToMean("")).isLessThanOrEqualTo(MAX_BUSIEST_TO_MEAN);
		assertThat(fleet.newConnectionsPerRequest()).isLessThanOrEqualTo(MAX_NEW_CONNECTIONS);
		assertThat(fleet.waited).isZero();
	}

	/**
	 * Guards against a target that goes down and up by turns and takes requests whenever
	 * it is up.
	 */
	@Test
	void aFlappingTargetIsTakenBackStepByStep() {
		final UnevenFleet fleet = settled(130, 40, 34, 5);
		final UnevenTarget flapping = fleet.targets.get(0);
		flapping.up = false;
		fleet.time.run(4);
		flapping.up = true;
		final int before = flapping.started;
		fleet.time.run(1);
		final int firstSecond = flapping.started - before;
		fleet.time.run(19);
		final int later = flapping.started;
		fleet.time.run(1);
		final double mean = 130 * 5 / 40.0;
		assertThat(firstSecond).isLessThan((int) (mean / 2));
		assertThat(flapping.started - later).isGreaterThan((int) (mean / 4));
		assertThat(fleet.failedTwice).isZero();
	}

	/**
	 * Guards against a daemon that refuses or holds requests since all that it knows has
	 * died.
	 */
	@Test
	void requestsLeaveASubsetThatHasDied() {
		final UnevenFleet fleet = settled(130, 40, 34, 2);
		final UnevenFleetDaemon daemon = fleet.daemons.get(0);
		final TargetSubset subset = daemon.set.subset();
		final List<TargetLoad> dead = List.copyOf(subset.ranked().subList(0, subset.size()));
		dead.forEach((load) -> fleet.target(load.view().targetId()).up = false);
		// Each daemon meets each dead target once before it knows.
		fleet.time.run(5);
		fleet.measure();
		fleet.time.run(10);
		assertThat(fleet.failedTwice).isZero();
		assertThat(fleet.waited).isZero();
	}

	/**
	 * Guards against callers who wait at one daemon that gets a burst, beside idle
	 * targets.
	 */
	@Test
	void aBurstAtOneDaemonFindsRoom() {
		final UnevenFleet fleet = settled(130, 40, 34, 4);
		for (int i = 0; i < 40; i++) {
			fleet.daemons.get(0).submit(500_000_000L);
		}
		fleet.time.run(3);
		assertThat(fleet.longestWaitNanos).isLessThan(250_000_000L);
	}

	/**
	 * Guards against daemons without a share of few slots, whose callers wait beside idle
	 * targets.
	 */
	@Test
	void everyDaemonReachesAnIdleService() {
		final UnevenFleet fleet = new UnevenFleet(7);
		fleet.addTargets(3, 30, 1);
		fleet.addDaemons(130, true);
		fleet.daemons.subList(0, 80).forEach((daemon) -> daemon.submit(50_000_000L));
		fleet.time.run(1);
		assertThat(fleet.longestWaitNanos).isZero();
		assertThat(fleet.targets).allMatch((target) -> target.started > 0);
	}

	/**
	 * Load: all daemons get more requests at once than there are slots. Guards against
	 * engines that queue what the daemons should, since fair queueing applies only there.
	 */
	@ParameterizedTest
	@CsvSource({ "9, 34", "20, 10", "60, 10" })
	void anOverloadedFleetExceedsTheSlotsByAnEighthAtMost(int targets, int slots) {
		final UnevenFleet fleet = new UnevenFleet(7);
		fleet.addTargets(targets, slots, 1);
		fleet.addDaemons(95, true);
		for (int i = 0; i < 20; i++) {
			fleet.daemons.forEach((daemon) -> daemon.submit(500_000_000L));
		}
		fleet.time.run(0.01);
		final int sent = fleet.targets.stream().mapToInt((target) -> target.started + target.waiting()).sum();
		assertThat(sent).isBetween(targets * slots * 9 / 10,
				targets * slots + Math.max(95, targets * slots / 8 + 95 / 2));
	}

	/**
	 * Guards against requests that go to a target of low pace until it is full, since it
	 * seems close.
	 */
	@Test
	void aSlowTargetIsNotFilled() {
		final UnevenFleet fleet = new UnevenFleet(7);
		fleet.addTargets(39, 34, 1);
		fleet.addTargets(1, 34, 0.3);
		fleet.addDaemons(130, true);
		fleet.load((zone, seconds) -> 7, 700);
		fleet.time.run(10);
		final UnevenTarget slow = fleet.targets.get(39);
		for (int second = 0; second < 10; second++) {
			fleet.time.run(1);
			assertThat(slow.waiting()).isZero();
		}
	}

	private static UnevenFleet settled(int daemons, int targets, int slots, double rate) {
		final UnevenFleet fleet = new UnevenFleet(7);
		fleet.addTargets(targets, slots, PACES);
		fleet.addDaemons(daemons, true);
		fleet.load((zone, seconds) -> rate, 700);
		fleet.time.run(10);
		fleet.measure();
		return fleet;
	}

}
