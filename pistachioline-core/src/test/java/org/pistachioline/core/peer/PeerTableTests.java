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

	private static PeerStatus status(int index, long incarnation, long sequence, long configVersion) {
		final String address = "10.0." + index / 256 + "." + index % 256;
		return new PeerStatus("daemon-" + index, address + ":7400", address + ":8080", address + ":9090",
				"zone-" + index % 16, incarnation, sequence, configVersion, 1_000, 5_000, true, false, 0.5, 100);
	}

	private void exchangeHeartbeats(List<PeerTable> tables, long heartbeat, long configVersion, int silentIndex) {
		final long nowNanos = heartbeat * HEARTBEAT_NANOS;
		for (int senderIndex = 0; senderIndex < tables.size(); senderIndex++) {
			if (senderIndex == silentIndex) {
				continue;
			}
			final GossipSample sample = tables.get(senderIndex).sample(nowNanos);
			for (int copy = 0; copy < FAN_OUT; copy++) {
				final PeerTable receiver = tables.get(this.random.nextInt(tables.size()));
				receiver.merge(status(senderIndex, 1, heartbeat, configVersion), nowNanos);
				sample.statuses().forEach((status) -> receiver.merge(status, nowNanos));
				sample.updates().forEach((update) -> receiver.merge(update, nowNanos));
			}
		}
		tables.forEach((table) -> table.live(nowNanos));
	}

	private static List<PeerTable> tables(int daemonCount) {
		final List<PeerTable> tables = new ArrayList<>();
		for (int index = 0; index < daemonCount; index++) {
			tables.add(new PeerTable("daemon-" + index, 8 * HEARTBEAT_NANOS));
		}
		return tables;
	}

	private static long countWithConfigVersion(List<PeerTable> tables, long heartbeat, long version) {
		return tables.stream()
			.flatMap((table) -> table.live(heartbeat * HEARTBEAT_NANOS).stream())
			.filter((status) -> status.configVersion() == version)
			.count();
	}

	/**
	 * Guards against daemons that hear of some others too rarely. Operators ask any
	 * daemon whether a configuration is in force on all; a change would seem to be stuck,
	 * and live daemons would be missing from the endpoints given to callers.
	 */
	@Test
	void ninetySixDaemonsDiscoverEachOtherAndLoseNone() {
		final int daemonCount = 96;
		final long pairs = (long) daemonCount * (daemonCount - 1);
		final List<PeerTable> tables = tables(daemonCount);
		long heartbeat = 1;
		while (countWithConfigVersion(tables, heartbeat, 1) < pairs) {
			exchangeHeartbeats(tables, ++heartbeat, 1, -1);
		}
		assertThat(heartbeat).as("heartbeats until all daemons know all others").isLessThan(150);
		for (int i = 0; i < 200; i++) {
			exchangeHeartbeats(tables, ++heartbeat, 1, -1);
			assertThat(countWithConfigVersion(tables, heartbeat, 1)).isEqualTo(pairs);
		}
		final long changedAtHeartbeat = heartbeat;
		while (countWithConfigVersion(tables, heartbeat, 2) < pairs) {
			exchangeHeartbeats(tables, ++heartbeat, 2, -1);
		}
		assertThat(heartbeat - changedAtHeartbeat).as("heartbeats until all daemons know of the change on all others")
			.isLessThan(20);
	}

	@Test
	void aConfigurationChangeReachesAllOfEightDaemonsWithinThreeSeconds() {
		final List<PeerTable> tables = tables(8);
		LongStream.rangeClosed(1, 20).forEach((heartbeat) -> exchangeHeartbeats(tables, heartbeat, 1, -1));
		long heartbeat = 20;
		while (countWithConfigVersion(tables, heartbeat, 2) < 56) {
			exchangeHeartbeats(tables, ++heartbeat, 2, -1);
		}
		assertThat(heartbeat - 20).isLessThanOrEqualTo(6);
	}

	/**
	 * Guards against a dead daemon that stays live because its last status still
	 * circulates. Callers would be sent to its address forever.
	 */
	@Test
	void circulatingGossipDoesNotKeepADeadDaemonLive() {
		final List<PeerTable> tables = tables(8);
		LongStream.rangeClosed(1, 20).forEach((heartbeat) -> exchangeHeartbeats(tables, heartbeat, 1, -1));
		LongStream.rangeClosed(21, 40).forEach((heartbeat) -> exchangeHeartbeats(tables, heartbeat, 1, 3));
		for (int index = 0; index < 8; index++) {
			assertThat(tables.get(index).live(40 * HEARTBEAT_NANOS)).extracting(PeerStatus::daemonId)
				.doesNotContain((index != 3) ? "daemon-3" : "");
		}
	}

	/**
	 * Guards against late updates of an earlier incarnation, which would undo the new
	 * address of a restarted daemon or count as a sign of life.
	 */
	@Test
	void updatesOfAnotherIncarnationAreIgnored() {
		final PeerTable table = new PeerTable("self", 8 * HEARTBEAT_NANOS);
		table.merge(status(1, 7, 3, 1), 0);
		assertThat(table.merge(new PeerUpdate("daemon-1", 6, 99, 9, false, true, false), SECOND_NANOS)).isFalse();
		assertThat(table.merge(new PeerUpdate("daemon-1", 8, 1, 9, false, true, false), SECOND_NANOS)).isFalse();
		assertThat(table.live(SECOND_NANOS)).containsExactly(status(1, 7, 3, 1));
	}

	/**
	 * Guards against needless work in large fleets. Each of hundreds of daemons hears
	 * several times a second that the others are live; its list of them is rebuilt only
	 * if their content changes.
	 */
	@Test
	void aLaterStatusWithTheSameContentIsNoChange() {
		final PeerTable table = new PeerTable("self", 8 * HEARTBEAT_NANOS);
		table.merge(status(1, 7, 3, 1), 0);
		assertThat(table.takeChanged()).isTrue();
		table.merge(status(1, 7, 4, 1), SECOND_NANOS);
		table.merge(new PeerUpdate("daemon-1", 7, 5, 1, true, false, false), SECOND_NANOS);
		assertThat(table.takeChanged()).isFalse();
		table.merge(new PeerUpdate("daemon-1", 7, 6, 1, true, true, false), SECOND_NANOS);
		assertThat(table.takeChanged()).isTrue();
		table.merge(status(1, 8, 1, 1), SECOND_NANOS);
		assertThat(table.takeChanged()).isTrue();
	}

	/**
	 * Guards against a reconnected daemon that is not considered live because its status
	 * has the same content as before it was lost. Callers would be sent elsewhere.
	 */
	@Test
	void aLostDaemonThatReturnsIsAChange() {
		final PeerTable table = new PeerTable("self", 8 * HEARTBEAT_NANOS);
		table.merge(status(1, 7, 3, 1), 0);
		table.takeChanged();
		table.merge(status(1, 7, 4, 1), 60 * SECOND_NANOS);
		assertThat(table.takeChanged()).isTrue();
	}

	/**
	 * Guards against a faulty peer that reports ever more daemons until the memory is
	 * exhausted.
	 */
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
