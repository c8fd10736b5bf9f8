package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs with 300 daemons, many of which fail at once and return.
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
	 * Guards against a fleet without a planner after all candidates have failed at once:
	 * groups would break and none would be formed again.
	 */
	@Test
	void failedCandidatesAreReplaced() {
		final List<String> remaining = new ArrayList<>(IDS);
		remaining.removeAll(candidates(IDS));
		assertThat(candidates(remaining)).hasSize(MAX_CANDIDATES);
	}

	@Test
	void aNewDaemonLeavesMostCandidatesInPlace() {
		final List<String> extended = new ArrayList<>(IDS);
		extended.add("edge-new");
		assertThat(candidates(extended)).filteredOn(candidates(IDS)::contains)
			.hasSizeGreaterThanOrEqualTo(MAX_CANDIDATES - 1);
	}

}
