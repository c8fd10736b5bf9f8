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
		final List<PeerStatus> selected = EndpointSelector.select(
				List.of(daemon("d1", "a", 1, false), daemon("d2", "b", 0.1, false), daemon("d3", "a", 0.5, false)), "b",
				1);
		assertThat(selected).extracting(PeerStatus::availabilityZone).containsExactly("b", "a", "a");
	}

	@Test
	void aDaemonThatIsLeavingIsNotSelected() {
		assertThat(EndpointSelector.select(List.of(daemon("d1", "a", 0, true), daemon("d2", "a", 0, false)), "a", 1L))
			.extracting(PeerStatus::daemonId)
			.containsExactly("d2");
	}

	// Guards against a thousand callers that ask between two heartbeats all staying with
	// the least loaded daemon, because callers keep a response and use its first address.
	@Test
	void concurrentLookupsAreSpreadInInverseProportionToLoad() {
		final List<PeerStatus> daemons = List.of(daemon("d1", "a", 0.4, false), daemon("d2", "a", 0.4, false),
				daemon("d3", "a", 0.8, false));
		final Map<String, Integer> first = new HashMap<>();
		for (long lookup = 0; lookup < 5_000; lookup++) {
			first.merge(EndpointSelector.select(daemons, "a", lookup).get(0).daemonId(), 1, Integer::sum);
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
		final List<PeerStatus> selected = EndpointSelector.select(daemons, "b", 7);
		assertThat(selected).hasSize(8);
		assertThat(selected).filteredOn((daemon) -> daemon.availabilityZone().equals("b")).hasSize(5);
	}

	// Guards against a machine of a quarter core that is given as many callers as one of
	// one and a half.
	@Test
	void lookupsAreSpreadInProportionToCores() {
		final Map<String, Integer> first = countFirst(
				List.of(daemon("d1", 0.25, 0), daemon("d2", 0.75, 0), daemon("d3", 1.5, 0), daemon("d4", 0, 0)));
		assertThat(first.get("d2")).isBetween(2 * first.get("d1"), 4 * first.get("d1"));
		assertThat(first.get("d3")).isBetween((int) (1.7 * first.get("d2")), (int) (2.3 * first.get("d2")));
		assertThat(first.get("d4")).isBetween(first.get("d2"), first.get("d3"));
	}

	// Guards against callers who are sent to daemons that run late already, and against
	// daemons left out for good.
	@Test
	void lookupsAvoidDaemonsThatRunLateAndLeaveNoneOut() {
		final Map<String, Integer> first = countFirst(List.of(daemon("d1", 0.5, 0), daemon("d2", 0.5, 1_000),
				daemon("d3", 0.5, 90), daemon("d4", 0.5, 60_000)));
		assertThat(first.get("d2")).isBetween(100, first.get("d1") / 5);
		assertThat(first.get("d4")).isBetween(100, first.get("d1") / 5);
		assertThat(first.get("d3")).isBetween(first.get("d1") * 9 / 10, first.get("d1") * 11 / 10);
	}

	// Guards against a change where nothing is known, or nothing differs.
	@Test
	void equalRoomChangesNothing() {
		for (final double cores : new double[] { 0, 0.3 }) {
			for (final long lagMillis : new long[] { 0, 700 }) {
				final List<PeerStatus> daemons = new ArrayList<>();
				for (int i = 0; i < 20; i++) {
					daemons.add(daemon("d" + i, cores, lagMillis));
				}
				for (long lookup = 0; lookup < 200; lookup++) {
					assertThat(EndpointSelector.selectByRoom(daemons, "a", lookup))
						.isEqualTo(EndpointSelector.select(daemons, "a", lookup));
				}
			}
		}
	}

	private static Map<String, Integer> countFirst(List<PeerStatus> daemons) {
		final Map<String, Integer> first = new HashMap<>();
		for (long lookup = 0; lookup < 5_000; lookup++) {
			first.merge(EndpointSelector.selectByRoom(daemons, "a", lookup).get(0).daemonId(), 1, Integer::sum);
		}
		return first;
	}

	private static PeerStatus daemon(String id, double cores, long lagMillis) {
		return new PeerStatus(id, "", "", "", "a", 1, 1, 1, 1, 1, true, false, 0, 0, "", false, cores, lagMillis);
	}

	private static PeerStatus daemon(String id, String zone, double loadRatio, boolean leaving) {
		return new PeerStatus(id, "", "", "", zone, 1, 1, 1, 1, 1, true, leaving, loadRatio, 0);
	}

}
