package org.pistachioline.core.endpoints;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.traffic.Drain;
import org.pistachioline.core.traffic.DrainAcceptance;
import org.pistachioline.core.traffic.DrainReport;

import static org.assertj.core.api.Assertions.assertThat;

class DepartureTests {

	private static final long END_MILLIS = 6_700;

	private static final DrainReport ACCEPTS = new DrainReport(10, 2, nanos(3_000));

	private static final DrainReport REFUSES = new DrainReport(2, 10, 0);

	private static final List<PeerStatus> READY = List.of(daemon("a", 1, true, false));

	private static final List<PeerStatus> LEAVING = List.of(daemon("a", 1, false, true));

	// Guards against streams that are accepted late on an estimate and cut off.
	@Test
	void estimatesEndThreeSecondsAfterTheSignalWhetherOrNotAnotherDaemonServes() {
		assertThat(acceptance(2_700, List.of())).isEqualTo(DrainAcceptance.ESTIMATE);
		assertThat(acceptance(2_700, READY)).isEqualTo(DrainAcceptance.ESTIMATE);
		assertThat(acceptance(3_000, List.of())).isEqualTo(DrainAcceptance.OUTPUT_LIMIT);
		assertThat(acceptance(3_000, READY)).isEqualTo(DrainAcceptance.DEADLINE);
	}

	// Guards against callers who come back much earlier or later than somebody does.
	@Test
	void callersAreToldWhenSomebodyServes() {
		assertThat(departure(READY).terms(0, READY)).returns(100L, Drain::retryAfterMillis)
			.returns(false, Drain::afterLastRequest);
		assertThat(departure(List.of()).terms(0, List.of())).returns(1_000L, Drain::retryAfterMillis)
			.returns(true, Drain::afterLastRequest);
		assertThat(departure(LEAVING).terms(0, LEAVING)).returns(true, Drain::afterLastRequest);
	}

	// Guards against callers who find nobody while a daemon that only refuses stays up.
	@Test
	void aDaemonThatNobodyRelievesGoesOnceItRefusesMostAndHasNoOldRequests() {
		final Departure departure = departure(List.of());
		assertThat(departure.isOver(nanos(4_000), List.of(), REFUSES)).isTrue();
		assertThat(departure.isOver(nanos(4_000), List.of(), ACCEPTS)).isFalse();
		assertThat(departure.isOver(nanos(4_000), List.of(), new DrainReport(2, 10, nanos(800)))).isFalse();
	}

	// Guards against callers who find nobody while another daemon is on its way back.
	@Test
	void aDaemonThatLeftAfterAnotherStaysUntilThatOneIsBack() {
		final Departure departure = departure(LEAVING);
		assertThat(departure.isOver(nanos(4_000), List.of(), REFUSES)).isFalse();
		assertThat(departure.isOver(nanos(4_000), List.of(daemon("a", 2, true, false)), ACCEPTS)).isTrue();
	}

	// Guards against an end that rests on the first request after the signal alone.
	@Test
	void theFirstRefusalsDoNotEndADaemon() {
		assertThat(departure(List.of()).isOver(nanos(300), List.of(), REFUSES)).isFalse();
	}

	// Guards against callers whose cached addresses name a daemon that has gone.
	@Test
	void whileAnotherDaemonServesItStaysUntilCachedLookupsHaveExpired() {
		final Departure departure = departure(READY);
		assertThat(departure.isOver(nanos(3_400), READY, REFUSES)).isFalse();
		assertThat(departure.isOver(nanos(3_600), READY, ACCEPTS)).isTrue();
	}

	// Guards against a fleet in which all daemons are leaving at the same time.
	@Test
	void theFirstToLeaveGoesAtOnceWhenAllOthersLeaveToo() {
		assertThat(departure(READY).isOver(nanos(1_000), LEAVING, ACCEPTS)).isTrue();
		final List<PeerStatus> oneReady = List.of(daemon("a", 1, false, true), daemon("b", 1, true, false));
		assertThat(departure(oneReady).isOver(nanos(1_000), oneReady, ACCEPTS)).isFalse();
	}

	// Guards against all daemons of a fleet that make haste to come back at once.
	@Test
	void aDaemonThatLeavesAfterAnotherDoesNotGoBeforeItsTime() {
		final Departure departure = departure(LEAVING);
		final List<PeerStatus> laterOne = List.of(daemon("c", 1, false, true));
		assertThat(departure.isOver(nanos(1_000), laterOne, ACCEPTS)).isFalse();
		assertThat(departure.isOver(nanos(1_000), LEAVING, ACCEPTS)).isFalse();
	}

	// Guards against a process that is killed because it stays for too long.
	@Test
	void nothingKeepsADaemonBeyondTheEndOfItsTime() {
		assertThat(departure(List.of()).isOver(nanos(END_MILLIS), List.of(), ACCEPTS)).isTrue();
	}

	private static Departure departure(List<PeerStatus> peers) {
		return new Departure(0, nanos(END_MILLIS), peers);
	}

	private static DrainAcceptance acceptance(long nowMillis, List<PeerStatus> peers) {
		return departure(peers).terms(nanos(nowMillis), peers).acceptance();
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private static PeerStatus daemon(String id, long incarnation, boolean ready, boolean leaving) {
		return new PeerStatus(id, id + ":1", id + ":2", id + ":3", "zone", incarnation, 1, 1, 0, 0, ready, leaving, 0,
				0);
	}

}
