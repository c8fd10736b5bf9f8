package org.pistachioline.core.endpoints;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.peer.PeerStatus;

import static org.assertj.core.api.Assertions.assertThat;

class EndpointSelectorTests {

	@Test
	void theCallersZoneComesFirstFollowedByOtherZones() {
		final List<PeerStatus> chosen = EndpointSelector.select(
				List.of(daemon("d1", "a", 1, false), daemon("d2", "b", 0.1, false), daemon("d3", "a", 0.5, false)), "b",
				1);
		assertThat(chosen).extracting(PeerStatus::availabilityZone).containsExactly("b", "a", "a");
	}

	@Test
	void aDaemonThatIsLeavingIsNotSelected() {
		assertThat(EndpointSelector.select(List.of(daemon("d1", "a", 0, true), daemon("d2", "a", 0, false)), "a", 1L))
			.extracting(PeerStatus::daemonId)
			.containsExactly("d2");
	}

	// Callers keep the answer and go to its first address. Were the least loaded daemon
	// always first, a thousand callers that ask between two beats would all sit there.
	@Test
	void concurrentLookupsAreSpreadInInverseProportionToLoad() {
		final List<PeerStatus> daemons = List.of(daemon("d1", "a", 0.4, false), daemon("d2", "a", 0.4, false),
				daemon("d3", "a", 0.8, false));
		final Map<String, Integer> first = new HashMap<>();
		for (long answer = 0; answer < 5_000; answer++) {
			first.merge(EndpointSelector.select(daemons, "a", answer).get(0).daemonId(), 1, Integer::sum);
		}
		assertThat(first.get("d1")).isBetween(1_850, 2_150);
		assertThat(first.get("d2")).isBetween(1_850, 2_150);
		assertThat(first.get("d3")).isBetween(850, 1_150);
	}

	@Test
	void theNumberOfEndpointsIsBounded() {
		final List<PeerStatus> daemons = new ArrayList<>();
		for (int i = 0; i < 370; i++) {
			daemons.add(daemon("d" + i, "abc".substring(i % 3, i % 3 + 1), 0.5, false));
		}
		final List<PeerStatus> chosen = EndpointSelector.select(daemons, "b", 7);
		assertThat(chosen).hasSize(8);
		assertThat(chosen).filteredOn((daemon) -> daemon.availabilityZone().equals("b")).hasSize(5);
	}

	private static PeerStatus daemon(String id, String zone, double loadRatio, boolean leaving) {
		return new PeerStatus(id, "", "", "", zone, 1, 1, 1, 1, 1, true, leaving, loadRatio, 0);
	}

}
