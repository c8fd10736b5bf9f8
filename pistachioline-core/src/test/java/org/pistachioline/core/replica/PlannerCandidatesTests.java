package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: 300 daemons, of which many die at once and come again.
 */
class PlannerCandidatesTests {

	private static final int FLEET_SIZE = 300;

	private static final int MAX_CANDIDATES = 8;

	private static final List<String> IDS = IntStream.range(0, FLEET_SIZE).mapToObj((i) -> "edge-" + i).toList();

	private static List<String> candidates(List<String> live) {
		return live.stream().filter((id) -> PlannerCandidates.includes(id, live)).toList();
	}

	@Test
	void aFixedNumberOfDaemonsAreCandidates() {
		assertThat(candidates(IDS)).hasSize(MAX_CANDIDATES);
	}

	@Test
	void aDaemonThatKnowsNoPeersIsACandidate() {
		assertThat(PlannerCandidates.includes("edge-7", List.of())).isTrue();
	}

	/**
	 * All candidates die at once. Were nobody to take their places, groups would break
	 * and no group would be formed again.
	 */
	@Test
	void failedCandidatesAreReplaced() {
		final List<String> left = new ArrayList<>(IDS);
		left.removeAll(candidates(IDS));
		assertThat(candidates(left)).hasSize(MAX_CANDIDATES);
	}

	@Test
	void aNewDaemonLeavesMostCandidatesInPlace() {
		final List<String> more = new ArrayList<>(IDS);
		more.add("edge-new");
		assertThat(candidates(more)).filteredOn(candidates(IDS)::contains)
			.hasSizeGreaterThanOrEqualTo(MAX_CANDIDATES - 1);
	}

}
