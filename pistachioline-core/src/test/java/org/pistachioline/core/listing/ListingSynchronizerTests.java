package org.pistachioline.core.listing;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.pistachioline.core.replica.ServingInstance;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates fleets of daemons that follow the store's list. In all of them, a daemon's
 * list must equal the store's list at the daemon's offset, every daemon must learn of a
 * change within the two seconds in which a draining instance must get no more requests,
 * and the rate of store calls must not grow with the fleet.
 */
class ListingSynchronizerTests {

	private static final int INSTANCES = 200;

	private static final int CHANGES_PER_SECOND = 20;

	/**
	 * Requests to a draining instance must stop within two seconds; 100 ms of these are
	 * reserved for acting on the list.
	 */
	private static final long MAX_LAG_MILLIS = 2_000 - 100;

	private static ListingSimulation simulation(int daemonCount, long seed) {
		return simulation(daemonCount, INSTANCES, CHANGES_PER_SECOND, seed);
	}

	private static ListingSimulation simulation(int daemonCount, int instanceCount, int changesPerSecond, long seed) {
		final ListingSimulation simulation = new ListingSimulation(daemonCount, instanceCount, seed);
		simulation.changeInstances(changesPerSecond, instanceCount);
		simulation.run(3_000);
		simulation.takeStoreCalls();
		return simulation;
	}

	private static void runAndCheck(ListingSimulation simulation, long durationMillis, long maxLagMillis) {
		for (long elapsedMillis = 0; elapsedMillis < durationMillis; elapsedMillis += 100) {
			simulation.run(100);
			assertThat(simulation.maxLagMillis()).as("the latest daemon").isLessThanOrEqualTo(maxLagMillis);
			if (elapsedMillis % 500 == 0) {
				assertNoWrongLists(simulation);
			}
		}
	}

	private static void assertNoWrongLists(ListingSimulation simulation) {
		assertThat(simulation.daemonsWithWrongList())
			.as(() -> simulation.daemonsWithWrongList()
				.stream()
				.map(simulation::describeDifference)
				.toList()
				.toString())
			.isEmpty();
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 6, 95, 300 })
	void theRateOfStoreCallsDoesNotGrowWithTheFleet(int daemonCount) {
		final ListingSimulation simulation = simulation(daemonCount, daemonCount);
		runAndCheck(simulation, 10_000, 1_000);
		assertThat(simulation.takeStoreCalls()).as("calls in ten seconds").isLessThanOrEqualTo(100);
	}

	/**
	 * Guards against daemons that wait for dead readers and keep sending requests to
	 * instances that are gone. Both readers are killed at once, and for five seconds the
	 * others still consider them live.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void killedReadersAreReplacedInTime(long seed) {
		final ListingSimulation simulation = simulation(95, seed);
		simulation.readers().forEach(simulation::kill);
		runAndCheck(simulation, 8_000, MAX_LAG_MILLIS);
		assertThat(simulation.takeStoreCalls()).as("calls in eight seconds").isLessThanOrEqualTo(8 * 25);
		runAndCheck(simulation, 10_000, 1_000);
		assertThat(simulation.takeStoreCalls()).isLessThanOrEqualTo(100);
	}

	/**
	 * Guards against a paused daemon that passes on its outdated list when it resumes.
	 * Both readers pause for four seconds.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 11, 12, 13, 14, 15 })
	void aPausedReaderCausesNoRegression(long seed) {
		final ListingSimulation simulation = simulation(95, seed);
		final List<Integer> readers = simulation.readers();
		readers.forEach((reader) -> simulation.pause(reader, 4_000));
		runAndCheck(simulation, 3_900, MAX_LAG_MILLIS);
		// The readers themselves catch up when they resume.
		simulation.run(500);
		runAndCheck(simulation, 4_000, MAX_LAG_MILLIS);
	}

	/**
	 * Guards against daemons that stop serving because the store refuses them. The store
	 * refuses the readers and a third of the fleet, which have to be updated by the
	 * others.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 21, 22, 23, 24, 25 })
	void daemonsRefusedByTheStoreAreUpdatedByPeers(long seed) {
		final ListingSimulation simulation = simulation(95, seed);
		simulation.refuse(0.35);
		simulation.refuseReaders();
		runAndCheck(simulation, 9_000, MAX_LAG_MILLIS);
		simulation.refuse(0);
		simulation.run(1_500);
		runAndCheck(simulation, 4_000, MAX_LAG_MILLIS);
	}

	/**
	 * Guards against an overload of the store when all links between daemons fail. Each
	 * daemon then reads for itself; at a reader's rate, hundreds of daemons would exceed
	 * the store's limits.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 6, 95, 300 })
	void partitionedDaemonsReadForThemselvesWithinTheStoresRateLimit(int daemonCount) {
		final ListingSimulation simulation = simulation(daemonCount, daemonCount);
		simulation.setAllPartitioned(true);
		runAndCheck(simulation, 10_000, MAX_LAG_MILLIS + daemonCount * 20L);
		assertThat(simulation.takeStoreCalls()).as("calls in ten seconds").isLessThanOrEqualTo(1_500);
		simulation.setAllPartitioned(false);
		simulation.run(5_000);
		simulation.takeStoreCalls();
		runAndCheck(simulation, 10_000, 1_000);
		assertThat(simulation.takeStoreCalls()).isLessThanOrEqualTo(100);
	}

	/**
	 * Guards against slow daemons that slow each other down. All have just started on
	 * small machines, and responses arrive after their time-out; if each then read at a
	 * reader's rate, the reads would take the processor time that requests need.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 20, 95, 300 })
	void slowDaemonsDoNotOverloadTheStore(int daemonCount) {
		final ListingSimulation simulation = simulation(daemonCount, daemonCount);
		simulation.setFrameDelayMillis(900);
		simulation.run(10_000);
		assertThat(simulation.takeStoreCalls()).as("calls in ten seconds").isLessThanOrEqualTo(10 * 100);
	}

	/**
	 * Guards against lists that stay outdated after an outage of the store, which returns
	 * without its history, and against hundreds of daemons that read a snapshot at once.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 31, 32, 33 })
	void listsCatchUpSoonAfterAStoreOutage(long seed) {
		final ListingSimulation simulation = simulation(95, seed);
		simulation.setStoreUnavailable(true);
		simulation.run(5_000);
		assertNoWrongLists(simulation);
		simulation.truncateHistory();
		simulation.setStoreUnavailable(false);
		simulation.run(2_000);
		runAndCheck(simulation, 5_000, MAX_LAG_MILLIS);
	}

	/**
	 * Guards against lists that go back with a store restored from a backup, and against
	 * lists that no longer change because the restored store assigns the same offsets
	 * again.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 61", "2, 62", "6, 63", "6, 64", "95, 65", "95, 66", "95, 210", "300, 67" })
	void aStoreRestoredFromABackupCausesNoRegression(int daemonCount, long seed) {
		assertNoRegressionAfterRestores(daemonCount, seed);
	}

	private static void assertNoRegressionAfterRestores(int daemonCount, long seed) {
		final ListingSimulation simulation = simulation(daemonCount, seed);
		for (int round = 0; round < 3; round++) {
			simulation.setStoreUnavailable(true);
			simulation.run(1_000 + 700 * round);
			simulation.restore(2_000 + 3_000 * round);
			simulation.setStoreUnavailable(false);
			simulation.run(8_000);
			assertThat(simulation.regressions).isEmpty();
			assertThat(simulation.maxLagMillis()).isLessThanOrEqualTo(MAX_LAG_MILLIS);
			assertNoWrongLists(simulation);
		}
	}

	/**
	 * Guards against lists that go back or stay wrong if daemons pause, restart or are
	 * partitioned while the store is restored several times.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 71, 72, 73, 74, 75, 76, 77, 78, 103, 104, 110, 116, 121, 122, 128, 131, 139, 141, 145 })
	void mixedFaultsDuringRestoresLeaveNoListWrong(long seed) {
		assertMixedFaultsDuringRestoresLeaveNoListWrong(seed);
	}

	/**
	 * Guards against lists that stay wrong if restores follow each other within a second
	 * while daemons restart.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1176, 1199, 700_642, 701_957 })
	void mixedFaultsDuringRestoresInQuickSuccessionLeaveNoListWrong(long seed) {
		assertMixedFaultsDuringRestoresLeaveNoListWrong(seed);
	}

	/**
	 * Guards against lists that stay wrong if a delta has more records than one page
	 * holds.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 800_000, 800_001, 800_003, 800_008, 800_011 })
	void mixedFaultsDuringRestoresLeaveNoMultiPageListWrong(long seed) {
		assertMixedFaultsDuringRestoresLeaveNoListWrong(simulation(20, 2_600, 300, seed), seed);
	}

	private static void assertMixedFaultsDuringRestoresLeaveNoListWrong(long seed) {
		assertMixedFaultsDuringRestoresLeaveNoListWrong(simulation(20, seed), seed);
	}

	private static void assertMixedFaultsDuringRestoresLeaveNoListWrong(ListingSimulation simulation, long seed) {
		simulation.setFrameLossRatio(0.1);
		simulation.setFrameDelayMillis(300);
		simulation.setStoreFailureRatio(0.1);
		final Random random = new Random(seed);
		for (int i = 0; i < 30; i++) {
			final int index = random.nextInt(20);
			switch (random.nextInt(6)) {
				case 0 -> simulation.pause(index, random.nextInt(3_000));
				case 1 -> simulation.setPartitioned(index, random.nextBoolean());
				case 2 -> simulation.refuse(random.nextDouble() * 0.5);
				case 3 -> simulation.restart(index);
				default -> simulation.restore(random.nextInt(8_000));
			}
			simulation.run(400);
		}
		simulation.setFrameLossRatio(0);
		simulation.setFrameDelayMillis(2);
		simulation.setStoreFailureRatio(0);
		simulation.refuse(0);
		IntStream.range(0, 20).forEach((index) -> simulation.setPartitioned(index, false));
		simulation.run(9_000);
		runAndCheck(simulation, 3_000, MAX_LAG_MILLIS);
	}

	/**
	 * Guards against lists that the store never had. Frames are lost, delayed and
	 * reordered, and daemons fail, restart, pause and are partitioned, one at a time and
	 * several at once.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 41, 42, 43, 44, 45, 46, 47, 48 })
	void mixedFaultsMakeNoListWrong(long seed) {
		final ListingSimulation simulation = simulation(40, seed);
		simulation.setFrameLossRatio(0.1);
		simulation.setFrameDelayMillis(600);
		simulation.setStoreFailureRatio(0.2);
		final Random random = new Random(seed);
		for (int i = 0; i < 40; i++) {
			final int index = random.nextInt(40);
			switch (random.nextInt(6)) {
				case 0 -> simulation.kill(index);
				case 1 -> simulation.restart(index);
				case 2 -> simulation.pause(index, random.nextInt(3_000));
				case 3 -> simulation.setPartitioned(index, random.nextBoolean());
				case 4 -> simulation.truncateHistory();
				default -> simulation.refuse(random.nextDouble() * 0.5);
			}
			simulation.run(300);
			assertNoWrongLists(simulation);
		}
		simulation.setFrameLossRatio(0);
		simulation.setFrameDelayMillis(2);
		simulation.setStoreFailureRatio(0);
		simulation.refuse(0);
		IntStream.range(0, 40).forEach((index) -> simulation.setPartitioned(index, false));
		simulation.run(7_000);
		runAndCheck(simulation, 3_000, MAX_LAG_MILLIS);
	}

	/**
	 * Guards against a starting daemon that cannot serve because the store refuses it,
	 * although its peers have the list.
	 */
	@Test
	void aStartingDaemonRefusedByTheStoreGetsASnapshotFromAPeer() {
		final ListingSimulation simulation = simulation(12, 51);
		simulation.kill(3);
		simulation.run(500);
		simulation.refuse(0);
		simulation.refuseOnly(3);
		simulation.restart(3);
		simulation.run(2_500);
		assertThat(simulation.published(3)).isNotEmpty();
		runAndCheck(simulation, 2_000, MAX_LAG_MILLIS);
	}

	/**
	 * Guards against peers that keep an instance in use after the daemon that reported
	 * its removal as unconfirmed has resolved it.
	 */
	@Test
	void aPendingRequestIsAnsweredAsSoonAsARemovalIsResolved() {
		final ListingSynchronizer synchronizer = new ListingSynchronizer("daemon-0", ListingSimulation.MAX_AGE_NANOS, 0,
				1, ListReadPolicy.REDUNDANT);
		final InstanceRecord listedRecord = new InstanceRecord.Listed("i-1", 110, 0,
				new ServingInstance("i-1", "pool", "10.0.0.1:80", "zone-a", "", false, 4, Set.of(), Optional.empty()));
		synchronizer.onRead(0, ListingRead.snapshot(new ListingDelta(120, 120, List.of(listedRecord))), false);
		synchronizer.onRead(0,
				ListingRead.delta(new ListingDelta(120, 130, List.of(new InstanceRecord.Tombstone("i-1", 125)))), true);
		assertThat(synchronizer.onRequest(0, new ListingRequest("daemon-1", 7, 130))).isEmpty();
		assertThat(responses(synchronizer.onTick(50 * ListingSimulation.MILLI, List::of, false, true))).isEmpty();
		final List<ListingResponse> responses = responses(
				synchronizer.onTick(100 * ListingSimulation.MILLI, List::of, false, false));
		assertThat(responses).hasSize(1);
		assertThat(responses.get(0).delta().orElseThrow().unconfirmedKeys()).isEmpty();
	}

	private static List<ListingResponse> responses(List<ListingAction> actions) {
		return actions.stream()
			.filter(ListingAction.SendResponse.class::isInstance)
			.map((action) -> ((ListingAction.SendResponse) action).response())
			.toList();
	}

}
