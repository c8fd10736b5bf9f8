package org.pistachioline.core.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PeerTableTests {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private static final long HEARTBEAT_NANOS = SECOND_NANOS / 2;

	private static final int FAN_OUT = 2;

	private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(20261202L);

	private static PeerStatus status(int daemon, long incarnation, long sequence, long configVersion) {
		final String address = "10.0." + daemon / 256 + "." + daemon % 256;
		return new PeerStatus("daemon-" + daemon, address + ":7400", address + ":8080", address + ":9090",
				"zone-" + daemon % 16, incarnation, sequence, configVersion, 1_000, 5_000, true, false, 0.5, 100);
	}

	private void exchangeHeartbeats(List<PeerTable> tables, long beat, long configVersion, int silent) {
		final long nowNanos = beat * HEARTBEAT_NANOS;
		for (int sender = 0; sender < tables.size(); sender++) {
			if (sender == silent) {
				continue;
			}
			final GossipSample sample = tables.get(sender).sample(nowNanos);
			for (int copy = 0; copy < FAN_OUT; copy++) {
				final PeerTable receiver = tables.get(this.random.nextInt(tables.size()));
				receiver.merge(status(sender, 1, beat, configVersion), nowNanos);
				sample.statuses().forEach((status) -> receiver.merge(status, nowNanos));
				sample.updates().forEach((news) -> receiver.merge(news, nowNanos));
			}
		}
		tables.forEach((table) -> table.live(nowNanos));
	}

	private static List<PeerTable> tables(int daemons) {
		final List<PeerTable> tables = new ArrayList<>();
		for (int daemon = 0; daemon < daemons; daemon++) {
			tables.add(new PeerTable("daemon-" + daemon, 8 * HEARTBEAT_NANOS));
		}
		return tables;
	}

	private static long countWithConfigVersion(List<PeerTable> tables, long beat, long version) {
		return tables.stream()
			.flatMap((table) -> table.live(beat * HEARTBEAT_NANOS).stream())
			.filter((status) -> status.configVersion() == version)
			.count();
	}

	// Operators ask one daemon whether a configuration is in force on all. Did it hear of
	// some only rarely, a change would seem to hang on daemons that have long taken it,
	// and
	// live daemons would vanish from the endpoints that callers are given.
	@Test
	void ninetySixDaemonsDiscoverEachOtherAndLoseNone() {
		final int daemons = 96;
		final long pairs = (long) daemons * (daemons - 1);
		final List<PeerTable> tables = tables(daemons);
		long beat = 1;
		while (countWithConfigVersion(tables, beat, 1) < pairs) {
			exchangeHeartbeats(tables, ++beat, 1, -1);
		}
		assertThat(beat).as("beats until all know all").isLessThan(150);
		for (int i = 0; i < 200; i++) {
			exchangeHeartbeats(tables, ++beat, 1, -1);
			assertThat(countWithConfigVersion(tables, beat, 1)).isEqualTo(pairs);
		}
		final long changedAt = beat;
		while (countWithConfigVersion(tables, beat, 2) < pairs) {
			exchangeHeartbeats(tables, ++beat, 2, -1);
		}
		assertThat(beat - changedAt).as("beats until all know that all changed").isLessThan(20);
	}

	@Test
	void aConfigurationChangeReachesAllOfEightDaemonsWithinThreeSeconds() {
		final List<PeerTable> tables = tables(8);
		LongStream.rangeClosed(1, 20).forEach((beat) -> exchangeHeartbeats(tables, beat, 1, -1));
		long beat = 20;
		while (countWithConfigVersion(tables, beat, 2) < 56) {
			exchangeHeartbeats(tables, ++beat, 2, -1);
		}
		assertThat(beat - 20).isLessThanOrEqualTo(6);
	}

	// A daemon is killed. Its last words still go round among the others; they must not
	// keep
	// it alive, or callers would be sent to its address for ever.
	@Test
	void circulatingGossipDoesNotKeepADeadDaemonLive() {
		final List<PeerTable> tables = tables(8);
		LongStream.rangeClosed(1, 20).forEach((beat) -> exchangeHeartbeats(tables, beat, 1, -1));
		LongStream.rangeClosed(21, 40).forEach((beat) -> exchangeHeartbeats(tables, beat, 1, 3));
		for (int daemon = 0; daemon < 8; daemon++) {
			assertThat(tables.get(daemon).live(40 * HEARTBEAT_NANOS)).extracting(PeerStatus::daemonId)
				.doesNotContain((daemon != 3) ? "daemon-3" : "");
		}
	}

	// A daemon restarts on another port. Old news of its earlier life, still on the way,
	// must
	// neither undo the new address nor count as a sign of life.
	@Test
	void updatesOfAnotherIncarnationAreIgnored() {
		final PeerTable table = new PeerTable("self", 8 * HEARTBEAT_NANOS);
		table.merge(status(1, 7, 3, 1), 0);
		assertThat(table.merge(new PeerUpdate("daemon-1", 6, 99, 9, false, true), SECOND_NANOS)).isFalse();
		assertThat(table.merge(new PeerUpdate("daemon-1", 8, 1, 9, false, true), SECOND_NANOS)).isFalse();
		assertThat(table.live(SECOND_NANOS)).containsExactly(status(1, 7, 3, 1));
	}

	/**
	 * Load: each of hundreds of daemons hears several times a second that all others
	 * still live. The list of all is made anew only where it says something else.
	 */
	@Test
	void aLaterStatusWithTheSameContentIsNoChange() {
		final PeerTable table = new PeerTable("self", 8 * HEARTBEAT_NANOS);
		table.merge(status(1, 7, 3, 1), 0);
		assertThat(table.takeChanged()).isTrue();
		table.merge(status(1, 7, 4, 1), SECOND_NANOS);
		table.merge(new PeerUpdate("daemon-1", 7, 5, 1, true, false), SECOND_NANOS);
		assertThat(table.takeChanged()).isFalse();
		table.merge(new PeerUpdate("daemon-1", 7, 6, 1, true, true), SECOND_NANOS);
		assertThat(table.takeChanged()).isTrue();
		table.merge(status(1, 8, 1, 1), SECOND_NANOS);
		assertThat(table.takeChanged()).isTrue();
	}

	/**
	 * A daemon was cut off and is heard of again with nothing new to tell. It has to
	 * count as live at once, or its callers are sent elsewhere.
	 */
	@Test
	void aLostDaemonThatReturnsIsAChange() {
		final PeerTable table = new PeerTable("self", 8 * HEARTBEAT_NANOS);
		table.merge(status(1, 7, 3, 1), 0);
		table.takeChanged();
		table.merge(status(1, 7, 4, 1), 60 * SECOND_NANOS);
		assertThat(table.takeChanged()).isTrue();
	}

	@Test
	void inventedDaemonsDoNotExhaustMemory() {
		final PeerTable table = new PeerTable("self", 8 * HEARTBEAT_NANOS);
		for (int i = 0; i < 10_000; i++) {
			table.merge(status(i, 1, 1, 1), 0);
		}
		assertThat(table.live(0)).hasSize(4_096);
		assertThat(table.sample(0).statuses().size() + table.sample(0).updates().size())
			.isLessThanOrEqualTo(PeerTable.MAX_STATUSES + PeerTable.MAX_UPDATES);
	}

}
