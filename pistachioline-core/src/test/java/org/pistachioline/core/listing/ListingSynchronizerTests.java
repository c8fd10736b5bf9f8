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
 * Fleets that follow a list in virtual time. What must hold: nobody's list is wrong for
 * the offset that it stands for, everybody knows of a change within the two seconds in
 * which a draining instance must be left, and the store is called no more often by a
 * large fleet than by a small one.
 */
class ListingSynchronizerTests {

	private static final int INSTANCES = 200;

	private static final int CHANGES_PER_SECOND = 20;

	/**
	 * A draining instance must be left within two seconds; a tenth of one is left to act.
	 */
	private static final long MAX_LAG_MILLIS = 2_000 - 100;

	private static ListingSimulation simulation(int daemons, long seed) {
		return simulation(daemons, INSTANCES, CHANGES_PER_SECOND, seed);
	}

	private static ListingSimulation simulation(int daemons, int instances, int changesPerSecond, long seed) {
		final ListingSimulation world = new ListingSimulation(daemons, instances, seed);
		world.changeInstances(changesPerSecond, instances);
		world.run(3_000);
		world.takeStoreCalls();
		return world;
	}

	private static void runAndCheck(ListingSimulation world, long millis, long boundMillis) {
		for (long passed = 0; passed < millis; passed += 100) {
			world.run(100);
			assertThat(world.maxLagMillis()).as("the latest daemon").isLessThanOrEqualTo(boundMillis);
			if (passed % 500 == 0) {
				assertNoWrongLists(world);
			}
		}
	}

	private static void assertNoWrongLists(ListingSimulation world) {
		assertThat(world.daemonsWithWrongList())
			.as(() -> world.daemonsWithWrongList().stream().map(world::describeDifference).toList().toString())
			.isEmpty();
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 6, 95, 300 })
	void theRateOfStoreCallsDoesNotGrowWithTheFleet(int daemons) {
		final ListingSimulation world = simulation(daemons, daemons);
		runAndCheck(world, 10_000, 1_000);
		assertThat(world.takeStoreCalls()).as("calls in ten seconds").isLessThanOrEqualTo(100);
	}

	/**
	 * Both daemons that read for all others are killed at the same moment, and for five
	 * seconds the others still count them as live. A daemon that waited for them would go
	 * on sending requests to instances that are long gone.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void killedReadersAreReplacedInTime(long seed) {
		final ListingSimulation world = simulation(95, seed);
		world.readers().forEach(world::kill);
		runAndCheck(world, 8_000, MAX_LAG_MILLIS);
		assertThat(world.takeStoreCalls()).as("calls in eight seconds").isLessThanOrEqualTo(8 * 25);
		runAndCheck(world, 10_000, 1_000);
		assertThat(world.takeStoreCalls()).isLessThanOrEqualTo(100);
	}

	/**
	 * A reader stands still for four seconds and goes on as though nothing had been: what
	 * it has kept is old by then, and must not take anybody back.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 11, 12, 13, 14, 15 })
	void aPausedReaderCausesNoRegression(long seed) {
		final ListingSimulation world = simulation(95, seed);
		final List<Integer> readers = world.readers();
		readers.forEach((reader) -> world.pause(reader, 4_000));
		runAndCheck(world, 3_900, MAX_LAG_MILLIS);
		// The readers themselves read anew when they go on.
		world.run(500);
		runAndCheck(world, 4_000, MAX_LAG_MILLIS);
	}

	/**
	 * The store serves some daemons and turns others away, the readers among them. Those
	 * that are turned away hear from the others, so they serve on as though the store
	 * were there.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 21, 22, 23, 24, 25 })
	void daemonsRefusedByTheStoreAreUpdatedByPeers(long seed) {
		final ListingSimulation world = simulation(95, seed);
		world.refuse(0.35);
		world.refuseReaders();
		runAndCheck(world, 9_000, MAX_LAG_MILLIS);
		world.refuse(0);
		world.run(1_500);
		runAndCheck(world, 4_000, MAX_LAG_MILLIS);
	}

	/**
	 * All links between daemons fail at once. Each reads for itself then; if all did so
	 * at their usual rate, hundreds of daemons would overrun the store.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 6, 95, 300 })
	void partitionedDaemonsReadForThemselvesWithinTheStoresRateLimit(int daemons) {
		final ListingSimulation world = simulation(daemons, daemons);
		world.setAllPartitioned(true);
		runAndCheck(world, 10_000, MAX_LAG_MILLIS + daemons * 20L);
		assertThat(world.takeStoreCalls()).as("calls in ten seconds").isLessThanOrEqualTo(1_500);
		world.setAllPartitioned(false);
		world.run(5_000);
		world.takeStoreCalls();
		runAndCheck(world, 10_000, 1_000);
		assertThat(world.takeStoreCalls()).isLessThanOrEqualTo(100);
	}

	/**
	 * All daemons have just started on small machines, so that answers come later than
	 * they are waited for. If each read for itself as fast as a reader does, the reading
	 * would make them slower still, and callers would wait for their processors.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 20, 95, 300 })
	void slowDaemonsDoNotOverloadTheStore(int daemons) {
		final ListingSimulation world = simulation(daemons, daemons);
		world.frameDelayMillis(900);
		world.run(10_000);
		assertThat(world.takeStoreCalls()).as("calls in ten seconds").isLessThanOrEqualTo(10 * 100);
	}

	/**
	 * The store is away for five seconds, then back without its history. Everybody must
	 * know of what changed soon after, without hundreds of daemons asking for everything.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 31, 32, 33 })
	void listsCatchUpSoonAfterAStoreOutage(long seed) {
		final ListingSimulation world = simulation(95, seed);
		world.storeUnavailable(true);
		world.run(5_000);
		assertNoWrongLists(world);
		world.truncateHistory();
		world.storeUnavailable(false);
		world.run(2_000);
		runAndCheck(world, 5_000, MAX_LAG_MILLIS);
	}

	/**
	 * Guards against lists that go back with a store that came back from a copy, and
	 * against those that hear nothing more, since its offsets are given out again.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 61", "2, 62", "6, 63", "6, 64", "95, 65", "95, 66", "95, 210", "300, 67" })
	void aStoreRestoredFromABackupCausesNoRegression(int daemons, long seed) {
		assertNoRegressionAfterRestores(daemons, seed);
	}

	private static void assertNoRegressionAfterRestores(int daemons, long seed) {
		final ListingSimulation world = simulation(daemons, seed);
		for (int turn = 0; turn < 3; turn++) {
			world.storeUnavailable(true);
			world.run(1_000 + 700 * turn);
			world.restore(2_000 + 3_000 * turn);
			world.storeUnavailable(false);
			world.run(8_000);
			assertThat(world.regressions).isEmpty();
			assertThat(world.maxLagMillis()).isLessThanOrEqualTo(MAX_LAG_MILLIS);
			assertNoWrongLists(world);
		}
	}

	/**
	 * Guards against lists that go back or stay wrong where daemons die, start and hear
	 * nothing of each other while the store comes back from copies.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 71, 72, 73, 74, 75, 76, 77, 78, 103, 104, 110, 116, 121, 122, 128, 131, 139, 141, 145 })
	void mixedFaultsDuringRestoresLeaveNoListWrong(long seed) {
		assertMixedFaultsDuringRestoresLeaveNoListWrong(seed);
	}

	/**
	 * Guards against lists that stay wrong where copies follow each other within a second
	 * and daemons start meanwhile.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1176, 1199, 700_642, 701_957 })
	void mixedFaultsDuringRestoresInQuickSuccessionLeaveNoListWrong(long seed) {
		assertMixedFaultsDuringRestoresLeaveNoListWrong(seed);
	}

	/**
	 * Guards against lists that stay wrong where more has changed than one answer holds.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 800_000, 800_001, 800_003, 800_008, 800_011 })
	void mixedFaultsDuringRestoresLeaveNoMultiPageListWrong(long seed) {
		assertMixedFaultsDuringRestoresLeaveNoListWrong(simulation(20, 2_600, 300, seed), seed);
	}

	private static void assertMixedFaultsDuringRestoresLeaveNoListWrong(long seed) {
		assertMixedFaultsDuringRestoresLeaveNoListWrong(simulation(20, seed), seed);
	}

	private static void assertMixedFaultsDuringRestoresLeaveNoListWrong(ListingSimulation world, long seed) {
		world.frameLossRatio(0.1);
		world.frameDelayMillis(300);
		world.storeFailureRatio(0.1);
		final Random random = new Random(seed);
		for (int step = 0; step < 30; step++) {
			final int index = random.nextInt(20);
			switch (random.nextInt(6)) {
				case 0 -> world.pause(index, random.nextInt(3_000));
				case 1 -> world.setPartitioned(index, random.nextBoolean());
				case 2 -> world.refuse(random.nextDouble() * 0.5);
				case 3 -> world.restart(index);
				default -> world.restore(random.nextInt(8_000));
			}
			world.run(400);
		}
		world.frameLossRatio(0);
		world.frameDelayMillis(2);
		world.storeFailureRatio(0);
		world.refuse(0);
		IntStream.range(0, 20).forEach((index) -> world.setPartitioned(index, false));
		world.run(9_000);
		runAndCheck(world, 3_000, MAX_LAG_MILLIS);
	}

	/**
	 * Frames are lost and come late, some after newer ones; daemons die, come back empty,
	 * stand still and are cut off, one after the other and together. Nobody may hold a
	 * list that the store never had.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 41, 42, 43, 44, 45, 46, 47, 48 })
	void mixedFaultsMakeNoListWrong(long seed) {
		final ListingSimulation world = simulation(40, seed);
		world.frameLossRatio(0.1);
		world.frameDelayMillis(600);
		world.storeFailureRatio(0.2);
		final Random random = new Random(seed);
		for (int step = 0; step < 40; step++) {
			final int index = random.nextInt(40);
			switch (random.nextInt(6)) {
				case 0 -> world.kill(index);
				case 1 -> world.restart(index);
				case 2 -> world.pause(index, random.nextInt(3_000));
				case 3 -> world.setPartitioned(index, random.nextBoolean());
				case 4 -> world.truncateHistory();
				default -> world.refuse(random.nextDouble() * 0.5);
			}
			world.run(300);
			assertNoWrongLists(world);
		}
		world.frameLossRatio(0);
		world.frameDelayMillis(2);
		world.storeFailureRatio(0);
		world.refuse(0);
		IntStream.range(0, 40).forEach((index) -> world.setPartitioned(index, false));
		world.run(7_000);
		runAndCheck(world, 3_000, MAX_LAG_MILLIS);
	}

	/**
	 * A daemon that has just started is turned away by the store. It could serve no
	 * caller until the store lets it in again, though all others know the list.
	 */
	@Test
	void aStartingDaemonRefusedByTheStoreGetsASnapshotFromAPeer() {
		final ListingSimulation world = simulation(12, 51);
		world.kill(3);
		world.run(500);
		world.refuse(0);
		world.refuseOneMore(3);
		world.restart(3);
		world.run(2_500);
		assertThat(world.published(3)).isNotEmpty();
		runAndCheck(world, 2_000, MAX_LAG_MILLIS);
	}

	/**
	 * Guards against an instance that has gone and that daemons which were told of it in
	 * doubt use on, though the doubt has ended.
	 */
	@Test
	void aPendingRequestIsAnsweredAsSoonAsARemovalIsResolved() {
		final ListingSynchronizer node = new ListingSynchronizer("daemon-0", ListingSimulation.MAX_AGE_NANOS, 0, 1);
		final InstanceRecord entry = new InstanceRecord.Listed("i-1", 110, 0,
				new ServingInstance("i-1", "pool", "10.0.0.1:80", "zone-a", "", false, 4, Set.of(), Optional.empty()));
		node.onRead(0, ListingRead.snapshot(new ListingDelta(120, 120, List.of(entry))), false);
		node.onRead(0, ListingRead.delta(new ListingDelta(120, 130, List.of(new InstanceRecord.Tombstone("i-1", 125)))),
				true);
		assertThat(node.onRequest(0, new ListingRequest("daemon-1", 7, 130))).isEmpty();
		assertThat(responses(node.onTick(50 * ListingSimulation.MILLI, List::of, false, true))).isEmpty();
		final List<ListingResponse> told = responses(
				node.onTick(100 * ListingSimulation.MILLI, List::of, false, false));
		assertThat(told).hasSize(1);
		assertThat(told.get(0).delta().orElseThrow().unconfirmedKeys()).isEmpty();
	}

	private static List<ListingResponse> responses(List<ListingAction> actions) {
		return actions.stream()
			.filter(ListingAction.SendResponse.class::isInstance)
			.map((action) -> ((ListingAction.SendResponse) action).response())
			.toList();
	}

}
