package org.pistachioline.core.replica;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.pistachioline.core.route.CallerBounds;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.core.route.ServiceSpec;
import org.pistachioline.core.traffic.TargetView;

import static org.assertj.core.api.Assertions.assertThat;

class EvacuatedInstancesTests {

	private static final GroupId ACROSS = GroupId.of("small", 5);

	private static final GroupId OUTSIDE = GroupId.of("small", 6);

	private static final List<ServingInstance> LISTED = List.of(member("a", "z1", ACROSS, 0),
			member("b", "z2", ACROSS, 1), member("c", "z1", OUTSIDE, 0), member("d", "z1", OUTSIDE, 1),
			plain("desk-1", "z1"), plain("desk-2", "z2"));

	private static ServingInstance member(String id, String zone, GroupId group, int rank) {
		return new ServingInstance(id, "pool", id + ":1", zone, "d", false, 12, Set.of("small"),
				Optional.of(new Membership(group, rank, (rank == 0) ? MemberState.OPEN : MemberState.READY)), 700);
	}

	private static ServingInstance plain(String id, String zone) {
		return new ServingInstance(id, "desk", id + ":1", zone, "", false, 6, Set.of(), Optional.empty());
	}

	@Test
	void targetsInTheZoneAndGroupsAcrossItsEdgeDoNotServe() {
		final RouteTable table = new RouteTable(1, List.of(),
				List.of(new ServiceSpec("pool", 9, Optional.of(ReplicaSimulation.ENGINE_SPEC)),
						new ServiceSpec("desk", 9, Optional.empty())),
				List.of(), CallerBounds.DEFAULT);
		final EvacuatedInstances evacuated = new EvacuatedInstances(Set.of("z2", "unknown"));
		assertThat(ServingGroups.targets(table, evacuated.markDraining(LISTED), Map.of()))
			.filteredOn(TargetView::serving)
			.extracting(TargetView::instanceId)
			.containsExactlyInAnyOrder("c", "desk-1");
		assertThat(evacuated.receiverIds(LISTED)).containsExactlyInAnyOrder("a", "b", "desk-2");
	}

	@Test
	void withoutAnEvacuationNothingChanges() {
		final EvacuatedInstances none = new EvacuatedInstances(Set.of());
		assertThat(none.markDraining(LISTED)).isSameAs(LISTED);
		assertThat(none.receiverIds(LISTED)).isEmpty();
	}

	/**
	 * Guards against groups that are formed in the evacuated zone or across its edge, or
	 * that keep serving there. Load: none; an instance fails every 1.5 s, and both zones
	 * share each domain.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void groupsFormElsewhereAndNoneAcrossTheEdgeWhileInstancesFail(boolean fleetDecisions) {
		int before = 0;
		int during = 0;
		int after = 0;
		for (long seed = 1; seed <= 4; seed++) {
			final ReplicaSimulation simulation = new ReplicaSimulation(seed, 6, 0, 0, fleetDecisions);
			simulation.divideDomains("z1", "z2");
			simulation.run(20_000, false);
			before += simulation.countOpenGroupsWithMemberIn("z2");
			simulation.evacuatedZones = Set.of("z2");
			simulation.run(30_000, true);
			assertThat(simulation.violations).as("seed " + seed).isEmpty();
			assertThat(simulation.countOpenGroupsWithMemberIn("z2")).as("seed " + seed).isZero();
			during += simulation.countServingInstances();
			simulation.evacuatedZones = Set.of();
			simulation.run(30_000, false);
			after += simulation.countOpenGroupsWithMemberIn("z2");
			assertThat(simulation.violations).as("seed " + seed).isEmpty();
		}
		assertThat(before).isPositive();
		assertThat(during).isPositive();
		assertThat(after).isPositive();
	}

}
