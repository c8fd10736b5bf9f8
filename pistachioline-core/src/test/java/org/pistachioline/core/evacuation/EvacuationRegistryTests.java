package org.pistachioline.core.evacuation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EvacuationRegistryTests {

	private final EvacuationRegistry registry = new EvacuationRegistry();

	private static ZoneEvacuation inForce(String zone, long position) {
		return new ZoneEvacuation(zone, position, true);
	}

	private static ZoneEvacuation withdrawn(String zone, long position) {
		return new ZoneEvacuation(zone, position, false);
	}

	@Test
	void theWordAtTheHighestPositionCountsInWhateverOrderWordsArrive() {
		final List<ZoneEvacuation> records = new ArrayList<>(List.of(inForce("a", 1), withdrawn("a", 2),
				inForce("a", 3), inForce("b", 4), withdrawn("b", 5), inForce("c", 6)));
		for (int seed = 1; seed <= 20; seed++) {
			Collections.shuffle(records, new Random(seed));
			final EvacuationRegistry shuffled = new EvacuationRegistry();
			records.forEach((zoneRecord) -> shuffled.onPeerRecords(List.of(zoneRecord)));
			assertThat(shuffled.state().availabilityZones()).as("seed " + seed).containsExactlyInAnyOrder("a", "c");
			assertThat(shuffled.state().position()).isEqualTo(6);
		}
	}

	/**
	 * Guards against an evacuation that a cut daemon brings back after its withdrawal.
	 */
	@Test
	void whatAPeerMissedDoesNotComeBackThroughIt() {
		this.registry.onReading(new EvacuationReading(0, 30, List.of()));
		assertThat(this.registry.onPeerRecords(List.of(inForce("a", 10)))).isFalse();
		assertThat(this.registry.state().availabilityZones()).isEmpty();
		assertThat(this.registry.records()).containsExactly(withdrawn("a", 29));
	}

	@Test
	void aPeerThatReadFurtherIsBelieved() {
		this.registry.onReading(new EvacuationReading(0, 30, List.of(inForce("b", 7))));
		assertThat(this.registry.onPeerRecords(List.of(inForce("a", 30), withdrawn("b", 31)))).isTrue();
		assertThat(this.registry.state().availabilityZones()).containsExactly("a");
		assertThat(this.registry.onReading(new EvacuationReading(0, 30, List.of(inForce("b", 7))))).isFalse();
		this.registry.onReading(new EvacuationReading(0, 40, List.of(inForce("a", 30))));
		assertThat(this.registry.state().availabilityZones()).containsExactly("a");
	}

	/**
	 * Guards against an evacuation that is lost because too many others are asked for.
	 */
	@Test
	void zonesBeyondTheBoundAreRefusedOnceAndWithdrawalsGiveWay() {
		this.registry.onPeerRecords(List.of(withdrawn("old", 1)));
		IntStream.range(0, EvacuationRegistry.MAX_ZONES + 2)
			.forEach((i) -> this.registry.onPeerRecords(List.of(inForce("z" + i, 10 + i))));
		assertThat(this.registry.state().availabilityZones()).hasSize(EvacuationRegistry.MAX_ZONES).contains("z0");
		assertThat(this.registry.drainRefusedZones()).hasSize(2);
		this.registry.onPeerRecords(List.of(inForce("z" + EvacuationRegistry.MAX_ZONES, 999)));
		assertThat(this.registry.drainRefusedZones()).isEmpty();
	}

	@Test
	void wordsWithUnusableNamesOrPositionsAreRefused() {
		assertThat(this.registry.onPeerRecords(List.of(inForce(" ", 1), inForce("a", -1), inForce("b".repeat(129), 1))))
			.isFalse();
		assertThat(this.registry.records()).isEmpty();
	}

}
